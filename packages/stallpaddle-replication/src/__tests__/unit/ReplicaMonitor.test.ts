/**
 * Log lines of a replica, which must distinguish a stalled process from a network failure.
 */
import type {Clock, LogFields, Logger} from 'stallpaddle';

import {describe, expect, test} from 'vitest';

import type {ReplicationState} from '../../ReplicationTypes';

import {ReplicaMonitor} from '../../ReplicaMonitor';
import {isVoter, msUntilElection, ReplicaTicker, tickPeriodMs} from '../../ReplicaTicker';
import {EMPTY_SNAPSHOT, ReplicationLog} from '../../ReplicationLog';
import {startReplica, stepReplica} from '../../ReplicationStep';

const TIMING = {electionTimeoutMs: 500, heartbeatMs: 125, leaseDriftFraction: 0.2};
const SELF = 'a/1';
const OTHER = 'b/1';

/** One of two replicas, with a simulated clock and its log lines. */
class MonitoredReplica {
  readonly lines: (LogFields & {readonly message: string})[] = [];
  now = 0;
  state: ReplicationState;
  readonly monitor: ReplicaMonitor;

  constructor() {
    const write = (message: string, fields: LogFields = {}): void => {
      this.lines.push({message, ...fields});
    };
    const logger: Logger = {error: write, info: write, warn: write};
    const clock: Clock = {monotonicMs: () => this.now, wallMs: () => 0};
    const members = {learners: [], voters: [SELF, OTHER]};
    const log = ReplicationLog.restore({...EMPTY_SNAPSHOT, members}, []);
    const hardState = {term: 0, votedFor: null};
    this.state = startReplica({group: 'g', hardState, log, self: SELF, timing: TIMING}, 0);
    this.monitor = new ReplicaMonitor(clock, logger, TIMING);
  }

  step(event: Parameters<typeof stepReplica>[1]): void {
    const before = this.state;
    this.state = stepReplica(before, event, this.now).state;
    this.monitor.recordRole(before, this.state);
  }

  tick(afterMs = tickPeriodMs(TIMING)): void {
    this.now += afterMs;
    this.monitor.recordTick(this.state);
    this.step({kind: 'tick'});
    this.monitor.recordLease(this.state);
  }

  /** The other replica acknowledges everything sent so far. */
  answer(): void {
    const {log, role, term} = this.state;
    const lastIndex = log.lastIndex;
    const message = {from: OTHER, group: 'g', term, to: SELF};
    if (role.kind === 'preCandidate' || role.kind === 'candidate') {
      const kind = role.kind === 'candidate' ? 'voteReply' : 'preVoteReply';
      this.step({kind: 'message', message: {...message, body: {granted: true, kind}}});
      return;
    }
    const body = {kind: 'appendReply' as const, lastIndex, ok: true, sentAt: this.now};
    this.step({index: lastIndex, kind: 'persisted', term});
    this.step({kind: 'message', message: {...message, body}});
  }

  lead(): void {
    for (let ticks = 0; this.state.role.kind !== 'leader'; ticks++) {
      expect(ticks).toBeLessThan(100);
      this.tick();
      this.answer();
    }
    this.answer();
    this.tick();
    this.lines.length = 0;
  }
}

describe('ReplicaMonitor', () => {
  test('logs a lease that lapses and is renewed, and how long no majority responded', () => {
    const replica = new MonitoredReplica();
    replica.lead();
    for (let ticks = 0; ticks < 14; ticks++) {
      replica.tick();
    }
    expect(replica.lines).toMatchObject([
      {message: 'The lease of this replica has lapsed.', term: 1},
    ]);
    expect(replica.lines[0]!.quorumSilentMs).toBeGreaterThanOrEqual(400);
    expect(replica.lines[0]!.turnLateMs).toBe(0);
    replica.answer();
    replica.tick();
    expect(replica.lines[1]).toMatchObject({
      message: 'The lease of this replica was renewed.',
      term: 1,
    });
  });

  test('logs a late tick, and why leadership ended', () => {
    const replica = new MonitoredReplica();
    replica.lead();
    // Within two election timeouts it may resume leading once it is acknowledged again.
    replica.tick(600);
    expect(replica.lines.map(({message}) => message)).toEqual([
      'A clock tick of this replica was late.',
      'The lease of this replica has lapsed.',
    ]);
    replica.lines.length = 0;
    replica.tick(600);
    const [late, end] = replica.lines;
    expect(late).toMatchObject({message: 'A clock tick of this replica was late.', role: 'leader'});
    expect(late!.lateMs).toBeGreaterThan(500);
    expect(end).toMatchObject({
      cause: 'quorumSilent',
      message: 'This replica is no longer the leader.',
    });
    expect(end!.turnLateMs).toBeGreaterThan(500);
  });

  test('distinguishes a leadership transfer from a lost majority', () => {
    const replica = new MonitoredReplica();
    replica.lead();
    replica.step({kind: 'transferLeadership'});
    expect(replica.lines).toMatchObject([{cause: 'handedOver', newTerm: 1, term: 1}]);
  });
});

describe('ReplicaTicker', () => {
  test('uses short intervals for voters only', () => {
    const stateOf = (voters: readonly string[]): ReplicationState => {
      const log = ReplicationLog.restore(
        {...EMPTY_SNAPSHOT, members: {learners: [SELF], voters}},
        [],
      );
      const hardState = {term: 0, votedFor: null};
      return startReplica({group: 'g', hardState, log, self: SELF, timing: TIMING}, 0);
    };
    expect([isVoter(stateOf([SELF, OTHER])), isVoter(stateOf([OTHER]))]).toEqual([true, false]);
    expect(tickPeriodMs(TIMING, true)).toBeLessThan(TIMING.heartbeatMs / 2);
    expect(tickPeriodMs(TIMING, false)).toBe(TIMING.electionTimeoutMs);
  });

  test('ticks at the interval that was set last', async () => {
    let ticks = 0;
    const ticker = new ReplicaTicker(() => ticks++);
    expect([ticker.tickEvery(5), ticker.tickEvery(5), ticker.tickEvery(1_000)]).toEqual([
      true,
      false,
      true,
    ]);
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect(ticks).toBe(0);
    ticker.tickEvery(5);
    await new Promise((resolve) => setTimeout(resolve, 100));
    ticker.stop();
    expect(ticks).toBeGreaterThan(3);
  });

  test('a voter ticks at its election timeout and starts an election at that tick', () => {
    const replica = new MonitoredReplica();
    for (let ticks = 0; ticks < 20; ticks++) {
      const waitMs = msUntilElection(replica.state, replica.now)!;
      replica.now += waitMs - 1;
      const {electionCount} = replica.state;
      replica.step({kind: 'tick'});
      const isEarly = waitMs > 1 && replica.now < replica.state.electionAt;
      expect(replica.state.electionCount === electionCount).toBe(isEarly);
      replica.now += 1;
      replica.step({kind: 'tick'});
      expect(replica.state.electionCount).toBeGreaterThan(electionCount);
    }
    replica.lead();
    expect(msUntilElection(replica.state, replica.now)).toBeUndefined();
  });

  test('a one-time tick is neither postponed by a later request nor late for an earlier one', async () => {
    const startedAt = performance.now();
    const ticks: number[] = [];
    const ticker = new ReplicaTicker(() => ticks.push(performance.now() - startedAt));
    expect(ticker.tickAfter(300, 0)).toBe(true);
    expect(ticker.tickAfter(400, 50)).toBe(false);
    expect(ticker.tickAfter(40, 100)).toBe(true);
    await new Promise((resolve) => setTimeout(resolve, 450));
    expect(ticks).toHaveLength(1);
    expect(ticks[0]).toBeGreaterThanOrEqual(39);
    expect(ticks[0]).toBeLessThan(300);
    expect([ticker.tickAfter(30, 500), ticker.tickEvery(1_000)]).toEqual([true, true]);
    await new Promise((resolve) => setTimeout(resolve, 80));
    ticker.stop();
    expect(ticks).toHaveLength(1);
  });

  test('logs the missing voters of failed elections, at a limited rate', () => {
    const replica = new MonitoredReplica();
    for (let count = 0; count < 400; count++) {
      replica.tick();
    }
    const lines = replica.lines.filter(({message}) => message.startsWith('No majority'));
    expect(lines[0]).toMatchObject({answered: SELF, missing: OTHER});
    expect(lines.length).toBeGreaterThan(1);
    expect(lines.length).toBeLessThanOrEqual(3);
  });
});
