/**
 * Where other VMs are, and messages to them.
 */
import type {PeerClient} from 'stallpaddle-rpc';
import type {VmSettings} from 'stallpaddle-settings';

import {type VmId, vmOfReplica} from 'stallpaddle';
import {type Address, type MembershipState} from 'stallpaddle-membership';
import {isUrgent, type Message} from 'stallpaddle-replication';
import {type Delivery, type DeliverySource, RpcClients, RpcOutbox} from 'stallpaddle-rpc';

/** The library takes the next delivery once it has room for it. */
async function* streamOf({next}: DeliverySource): AsyncGenerator<Delivery> {
  for (let delivery = await next(); delivery !== undefined; delivery = await next()) {
    yield delivery;
  }
}

/** Other VMs as this one reaches them. */
export class VmPeers {
  private readonly clients: RpcClients;
  /** Connections of their own for urgent messages: what the library has taken of others goes first. */
  private readonly urgentClients: RpcClients;
  private readonly outboxes = new Map<string, RpcOutbox>();
  private stopped = false;

  /**
   * @param settings names the VMs to be asked first
   * @param membership where the others say they are
   */
  constructor(
    private readonly settings: VmSettings,
    private readonly membership: () => MembershipState,
  ) {
    this.clients = new RpcClients(settings.vmKey);
    this.urgentClients = new RpcClients(settings.vmKey);
  }

  /**
   * Address of a VM: what it says itself, else what the settings say.
   *
   * @param vm the VM
   */
  addressOf(vm: VmId): Address | undefined {
    const entry = this.membership().entries.get(vm);
    return entry?.facts.peers ?? this.settings.seeds.find((seed) => seed.vm === vm);
  }

  /**
   * Client of a VM, or undefined when its address is not known.
   *
   * @param vm the VM
   */
  clientOf(vm: VmId): PeerClient | undefined {
    const address = this.addressOf(vm);
    return address === undefined ? undefined : this.clients.at(address.host, address.port);
  }

  /**
   * Sends a replication message without waiting; it may be lost.
   *
   * @param message the message
   */
  send(message: Message): void {
    if (this.stopped) {
      return;
    }
    const vm = vmOfReplica(message.to);
    const clients = isUrgent(message) ? this.urgentClients : this.clients;
    const name = `${isUrgent(message) ? 'urgent ' : ''}${vm}`;
    const outbox =
      this.outboxes.get(name) ?? new RpcOutbox((taken) => this.carry(clients, vm, taken));
    this.outboxes.set(name, outbox);
    outbox.add(message);
  }

  /** Ends all connections. */
  close(): void {
    this.stopped = true;
    this.outboxes.forEach((outbox) => outbox.close());
    this.clients.close();
    this.urgentClients.close();
  }

  private carry(
    clients: RpcClients,
    vm: VmId,
    deliveries: DeliverySource,
  ): Promise<unknown> | undefined {
    const address = this.addressOf(vm);
    return address === undefined
      ? undefined
      : clients.at(address.host, address.port).deliver(streamOf(deliveries));
  }
}
