/** Addresses of other VMs, and messages to them. */
import type {PeerClient} from 'stallpaddle-rpc';
import type {VmSettings} from 'stallpaddle-settings';

import {type VmId, vmOfReplica} from 'stallpaddle';
import {type Address, type MembershipState} from 'stallpaddle-membership';
import {isUrgent, type Message} from 'stallpaddle-replication';
import {type Delivery, type DeliverySource, RpcClients, RpcOutbox} from 'stallpaddle-rpc';

/** Streams deliveries; the RPC library pulls the next one when its buffer has space. */
async function* streamDeliveries({next}: DeliverySource): AsyncGenerator<Delivery> {
  for (let delivery = await next(); delivery !== undefined; delivery = await next()) {
    yield delivery;
  }
}

/** Resolves the addresses of other VMs, and keeps the connections to them. */
export class VmPeers {
  private readonly clients: RpcClients;
  /** Separate connections for urgent messages, which would otherwise queue behind buffered ones. */
  private readonly urgentClients: RpcClients;
  private readonly outboxes = new Map<string, RpcOutbox>();
  private stopped = false;

  /**
   * @param settings the VM's settings, with the addresses of seeds
   * @param membership this VM's membership view
   */
  constructor(
    private readonly settings: VmSettings,
    private readonly membership: () => MembershipState,
  ) {
    this.clients = new RpcClients(settings.vmKey);
    this.urgentClients = new RpcClients(settings.vmKey);
  }

  /**
   * Returns the address that a VM announces, else that in the settings.
   *
   * @param vm the VM
   */
  addressOf(vm: VmId): Address | undefined {
    const entry = this.membership().entries.get(vm);
    return entry?.facts.peers ?? this.settings.seeds.find((seed) => seed.vm === vm);
  }

  /**
   * Returns a client of a VM, or undefined if its address is unknown.
   *
   * @param vm the VM
   */
  clientOf(vm: VmId): PeerClient | undefined {
    const address = this.addressOf(vm);
    return address === undefined ? undefined : this.clients.at(address.host, address.port);
  }

  /**
   * Queues a replication message; it may be lost.
   *
   * @param message the message
   */
  send(message: Message): void {
    if (this.stopped) {
      return;
    }
    const vm = vmOfReplica(message.to);
    const clients = isUrgent(message) ? this.urgentClients : this.clients;
    const outboxKey = `${isUrgent(message) ? 'urgent ' : ''}${vm}`;
    const outbox =
      this.outboxes.get(outboxKey) ??
      new RpcOutbox((deliveries) => this.deliver(clients, vm, deliveries));
    this.outboxes.set(outboxKey, outbox);
    outbox.add(message);
  }

  /** Closes all connections. */
  close(): void {
    this.stopped = true;
    this.outboxes.forEach((outbox) => outbox.close());
    this.clients.close();
    this.urgentClients.close();
  }

  private deliver(
    clients: RpcClients,
    vm: VmId,
    deliveries: DeliverySource,
  ): Promise<unknown> | undefined {
    const address = this.addressOf(vm);
    return address === undefined
      ? undefined
      : clients.at(address.host, address.port).deliver(streamDeliveries(deliveries));
  }
}
