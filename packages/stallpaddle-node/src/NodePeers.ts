/**
 * Other processes of the fleet. A replica's name holds its VM's IP number, and all VMs share the port.
 */
import type {LogFields, ReplicaId} from 'stallpaddle';
import type {Message} from 'stallpaddle-replication';

import {vmOfReplica} from 'stallpaddle';
import {
  type Delivery,
  type DeliverySource,
  openConnection,
  type PeerClient,
  RpcChannel,
  RpcOutbox,
} from 'stallpaddle-rpc';

import {DELIVER_TRY_MS, OPENING_MS, SLOW_DELIVERY_MS} from './NodeConstants';

/**
 * The platform hands out no secret; its network lets only the fleet's own VMs in. The number is the form of the calls
 * between processes: one that speaks another form is refused, and says so in its log.
 */
const FLEET_KEY = 'fleet 6';

/** Time between two lines about one VM that is refused, in milliseconds. */
const REFUSED_AGAIN_MS = 10_000;

function bytesOf({encoded = [], part}: Delivery): number {
  return encoded.reduce((sum, {length}) => sum + length, part?.bytes?.length ?? 0);
}

/** See the module's comment. */
export class NodePeers {
  private readonly channels = new Map<string, RpcChannel>();
  /**
   * Streams of replication messages: a large answer on the others must not keep heartbeats back. Snapshots go beside
   * them, in small pieces: the library throws when a connection without any stream is ended by the other side.
   */
  private readonly messageChannels = new Map<string, RpcChannel>();
  private readonly outboxes = new Map<ReplicaId, RpcOutbox>();
  private readonly refusedAt = new Map<string, number>();
  private stopped = false;

  /**
   * @param port port on which all processes reach each other
   * @param note writes a line of the log
   */
  constructor(
    private readonly port: number,
    private readonly note: (message: string, fields: LogFields) => void = () => {},
  ) {}

  /** Key that every process shows the others. */
  get key(): string {
    return FLEET_KEY;
  }

  /**
   * Notes a process that showed another key.
   *
   * @param host its IP number
   */
  noteRefused(host: string): void {
    const now = performance.now();
    if (now - (this.refusedAt.get(host) ?? -Infinity) >= REFUSED_AGAIN_MS) {
      this.refusedAt.set(host, now);
      this.note('A process that speaks another form of calls is refused.', {host});
    }
  }

  /**
   * Standing stream of calls to the process at a host.
   *
   * @param host IP number
   */
  channel(host: string): RpcChannel {
    return this.channelIn(this.channels, host, OPENING_MS);
  }

  /**
   * Client of the process that holds a replica.
   *
   * @param replica the replica
   */
  of(replica: ReplicaId): PeerClient {
    return this.channelIn(this.messageChannels, vmOfReplica(replica)).client;
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
    const outbox =
      this.outboxes.get(message.to) ??
      new RpcOutbox((deliveries) => this.carry(message.to, deliveries));
    this.outboxes.set(message.to, outbox);
    outbox.add(message);
  }

  /** Ends all connections. */
  close(): void {
    this.stopped = true;
    this.channels.forEach((channel) => channel.close());
    this.messageChannels.forEach((channel) => channel.close());
    this.outboxes.forEach((outbox) => outbox.close());
  }

  private channelIn(channels: Map<string, RpcChannel>, host: string, openingMs = 0): RpcChannel {
    const known =
      channels.get(host) ??
      new RpcChannel(
        () => openConnection(FLEET_KEY, host, this.port, null),
        () => this.note('A connection to another VM brings nothing and is given up.', {host}),
        openingMs,
      );
    channels.set(host, known);
    return known;
  }

  /** One delivery at a time: what comes meanwhile goes with the next. */
  private async carry(to: ReplicaId, {lost, next}: DeliverySource): Promise<void> {
    for (let delivery = await next(); delivery !== undefined; delivery = await next()) {
      const startedAt = performance.now();
      const channel = this.channelIn(this.messageChannels, vmOfReplica(to));
      const arrived = await channel.deliver(delivery, DELIVER_TRY_MS);
      if (!arrived) {
        lost();
      }
      const tookMs = Math.round(performance.now() - startedAt);
      if (tookMs > SLOW_DELIVERY_MS && !this.stopped) {
        const fields = {arrived, bytes: bytesOf(delivery), to, tookMs};
        this.note('A delivery to a replica took long.', fields);
      }
    }
  }
}
