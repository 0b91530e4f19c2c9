/**
 * Guards against leases that expire because urgent messages wait behind large commands on slow links. Real replicas and
 * outboxes run in simulated time without pauses, so the least remaining lease is the longest pause that a process can
 * afford.
 */
import type {ReplicaId} from 'stallpaddle';

import {create, toBinary} from '@bufbuild/protobuf';
import {decodeValue} from 'stallpaddle';
import {
  holdsLease,
  leaseUntil,
  type Message,
  type ReplicationEvent,
  ReplicationLog,
  type ReplicationState,
  startReplica,
  stepReplica,
} from 'stallpaddle-replication';
import {describe, expect, test} from 'vitest';

import {DeliverRequestSchema} from '../../gen/stallpaddle/v1/peer_pb';
import {completeMessages, RpcReassembler} from '../../RpcChunks';
import {type DeliverySource, RpcOutbox} from '../../RpcOutbox';

/** Production timing of a group, in milliseconds. */
const TIMING = {electionTimeoutMs: 500, heartbeatMs: 125, leaseDriftFraction: 0.2};
/** Time between ticks of a replica, in milliseconds. */
const TICK_MS = TIMING.heartbeatMs / 4;
/** Throughput of a slow link, in bytes per millisecond. */
const SLOW_LINK_BYTES_PER_MS = 1_600;
/** One-way latency of a link, in milliseconds. */
const LATENCY_MS = 1;
const IDS: readonly ReplicaId[] = ['a/1', 'b/1', 'c/1'];

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Simulates a group whose replicas exchange messages over slow links. */
class SlowLinkCluster {
  now = 0;
  private readonly outboxes = new Map<string, RpcOutbox>();
  private readonly states = new Map<ReplicaId, ReplicationState>();
  private timers: Timer[] = [];

  constructor() {
    const meta = {index: 0, members: {learners: [], voters: IDS}, term: 0};
    for (const [at, self] of IDS.entries()) {
      const hardState = {term: 0, votedFor: null};
      const log = ReplicationLog.restore(meta, []);
      const start = {group: 'g', hardState, log, self, timing: TIMING};
      this.states.set(self, startReplica(start, 0));
      this.scheduleTick(self, at);
    }
  }

  get leader(): ReplicationState | undefined {
    return [...this.states.values()].find(({role}) => role.kind === 'leader');
  }

  /** Remaining time of the leader's lease, in milliseconds; -Infinity without a leader. */
  get remainingLeaseMs(): number {
    const {leader} = this;
    return leader === undefined ? -Infinity : leaseUntil(leader, this.now) - this.now;
  }

  /** Runs the next timer. */
  async step(): Promise<void> {
    this.timers.sort((a, b) => a.at - b.at);
    const {at, run} = this.timers.shift()!;
    this.now = at;
    run();
    await new Promise(setImmediate);
  }

  handle(self: ReplicaId, event: ReplicationEvent): void {
    const {effects, state} = stepReplica(this.states.get(self)!, event, this.now);
    this.states.set(self, state);
    for (const effect of effects) {
      if (effect.kind === 'persist' && effect.entries.length > 0) {
        const {index, term} = effect.entries.at(-1)!;
        this.after(0, () => this.handle(self, {index, kind: 'persisted', term}));
      }
      if (effect.kind === 'send') {
        this.outboxOf(effect.message).add(effect.message);
      }
    }
  }

  close(): void {
    this.outboxes.forEach((outbox) => outbox.close());
  }

  private after(ms: number, run: () => void): void {
    this.timers.push({at: this.now + ms, run});
  }

  private scheduleTick(self: ReplicaId, ms: number): void {
    this.after(ms, () => {
      this.handle(self, {kind: 'tick'});
      this.scheduleTick(self, TICK_MS);
    });
  }

  private outboxOf({from, to}: Message): RpcOutbox {
    const key = `${from} ${to}`;
    const outbox =
      this.outboxes.get(key) ?? new RpcOutbox((deliveries) => this.send(to, deliveries));
    this.outboxes.set(key, outbox);
    return outbox;
  }

  /** Sends one delivery at a time, as between processes. */
  private async send(to: ReplicaId, {next}: DeliverySource): Promise<void> {
    const reassembler = new RpcReassembler();
    for (let delivery = await next(); delivery !== undefined; delivery = await next()) {
      const request = create(DeliverRequestSchema, delivery);
      const bytes = toBinary(DeliverRequestSchema, request).length;
      await this.sleep(bytes / SLOW_LINK_BYTES_PER_MS + LATENCY_MS);
      for (const encoded of completeMessages(request, reassembler)) {
        this.handle(to, {kind: 'message', message: decodeValue<Message>(encoded)});
      }
      await this.sleep(LATENCY_MS);
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }
}

describe('RpcOutbox and leases', () => {
  test('large commands on slow links leave at least 100 ms of the lease for pauses of the leader', async () => {
    const cluster = new SlowLinkCluster();
    while (cluster.leader === undefined || !holdsLease(cluster.leader, cluster.now)) {
      await cluster.step();
    }
    const {self, term} = cluster.leader;
    let minRemainingMs = Infinity;
    for (let requestId = 1; requestId <= 3; requestId++) {
      const data = new Uint8Array(3_000_000);
      cluster.handle(self, {commands: [{data, requestId}], kind: 'propose'});
      const {lastIndex} = cluster.leader.log;
      while (cluster.leader.commit < lastIndex) {
        await cluster.step();
        minRemainingMs = Math.min(minRemainingMs, cluster.remainingLeaseMs);
      }
    }
    cluster.close();
    expect([cluster.leader.self, cluster.leader.term]).toEqual([self, term]);
    expect(minRemainingMs).toBeGreaterThan(100);
  });
});
