/**
 * Connections to the other processes of the fleet.
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

import {DELIVERY_TIMEOUT_MS, FIRST_ANSWER_TIMEOUT_MS, SLOW_DELIVERY_MS} from './NodeConstants';

/**
 * The platform provides no secret; its network admits only the fleet's own VMs. The number is the version of the protocol
 * between processes: one with another version is refused, which is logged.
 */
const FLEET_KEY = 'fleet 8';

/** Shortest time between two log lines about the same refused VM, in milliseconds. */
const REFUSED_LOG_INTERVAL_MS = 10_000;

function bytesOf({encoded = [], part}: Delivery): number {
  return encoded.reduce((sum, {length}) => sum + length, part?.bytes?.length ?? 0);
}

/**
 * Opens and keeps connections to the other processes of the fleet. A replica's name holds its VM's IP number, and all VMs
 * use the same port.
 */
export class NodePeers {
  private readonly channels = new Map<string, RpcChannel>();
  /**
   * Streams of replication messages, apart from those of calls, so that a large answer can't delay heartbeats. Snapshots
   * share these connections: the library throws when the peer closes a connection that has no stream.
   */
  private readonly messageChannels = new Map<string, RpcChannel>();
  private readonly outboxes = new Map<ReplicaId, RpcOutbox>();
  private readonly refusedAt = new Map<string, number>();
  private stopped = false;

  /**
   * @param port port on which all processes reach each other
   * @param note writes a log line
   */
  constructor(
    private readonly port: number,
    private readonly note: (message: string, fields: LogFields) => void = () => {},
  ) {}

  /** Key that every process presents to the others. */
  get key(): string {
    return FLEET_KEY;
  }

  /**
   * Logs a process that presented another key.
   *
   * @param host its IP number
   */
  noteRefused(host: string): void {
    const now = performance.now();
    if (now - (this.refusedAt.get(host) ?? -Infinity) >= REFUSED_LOG_INTERVAL_MS) {
      this.refusedAt.set(host, now);
      this.note('A process with another protocol version is refused.', {host});
    }
  }

  /**
   * Persistent stream of calls to the process at a host.
   *
   * @param host IP number
   */
  channel(host: string): RpcChannel {
    return this.channelIn(this.channels, host, FIRST_ANSWER_TIMEOUT_MS);
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
   * Sends a replication message without waiting for delivery; it may be lost.
   *
   * @param message the message
   */
  send(message: Message): void {
    if (this.stopped) {
      return;
    }
    const outbox =
      this.outboxes.get(message.to) ??
      new RpcOutbox((deliveries) => this.deliver(message.to, deliveries));
    this.outboxes.set(message.to, outbox);
    outbox.add(message);
  }

  /** Closes all connections. */
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
        () => this.note('A connection to another VM is unresponsive and is closed.', {host}),
        openingMs,
      );
    channels.set(host, known);
    return known;
  }

  /** Sends one delivery at a time; messages that are queued meanwhile go with the next one. */
  private async deliver(to: ReplicaId, {lost, next}: DeliverySource): Promise<void> {
    for (let delivery = await next(); delivery !== undefined; delivery = await next()) {
      const startedAt = performance.now();
      const channel = this.channelIn(this.messageChannels, vmOfReplica(to));
      const arrived = await channel.deliver(delivery, DELIVERY_TIMEOUT_MS);
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
