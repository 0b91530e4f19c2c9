/**
 * What the log says of a leader: each line tells a held-up process from a silent network.
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

/** A replica of two, its clock, and what its log says. */
class Watched {
  readonly lines: (LogFields & {readonly message: string})[] = [];
  now = 0;
  state: ReplicationState;
  readonly watch: ReplicaMonitor;

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
    this.watch = new ReplicaMonitor(clock, logger, TIMING);
  }

  step(event: Parameters<typeof stepReplica>[1]): void {
    const before = this.state;
    this.state = stepReplica(before, event, this.now).state;
    this.watch.recordRole(before, this.state);
  }

  turn(afterMs = tickPeriodMs(TIMING)): void {
    this.now += afterMs;
    this.watch.recordTick(this.state);
    this.step({kind: 'tick'});
    this.watch.recordLease(this.state);
  }

  /** The other replica answers all that was sent so far. */
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
    for (let turns = 0; this.state.role.kind !== 'leader'; turns++) {
      expect(turns).toBeLessThan(100);
      this.turn();
      this.answer();
    }
    this.answer();
    this.turn();
    this.lines.length = 0;
  }
}

describe('ReplicaWatch', () => {
  test('tells a lease that lapses and runs again, and how long a majority was silent', () => {
    const watched = new Watched();
    watched.lead();
    for (let turns = 0; turns < 14; turns++) {
      watched.turn();
    }
    expect(watched.lines).toMatchObject([
      {message: 'The lease of this replica has lapsed.', term: 1},
    ]);
    expect(watched.lines[0]!.quorumSilentMs).toBeGreaterThanOrEqual(400);
    expect(watched.lines[0]!.turnLateMs).toBe(0);
    watched.answer();
    watched.turn();
    expect(watched.lines[1]).toMatchObject({
      message: 'The lease of this replica was renewed.',
      term: 1,
    });
  });

  test('tells a turn that came late, and why leadership ended', () => {
    const watched = new Watched();
    watched.lead();
    // Within two election timeouts it may still lead, once it is answered again.
    watched.turn(600);
    expect(watched.lines.map(({message}) => message)).toEqual([
      'A clock tick of this replica was late.',
      'The lease of this replica has lapsed.',
    ]);
    watched.lines.length = 0;
    watched.turn(600);
    const [late, end] = watched.lines;
    expect(late).toMatchObject({message: 'A clock tick of this replica was late.', role: 'leader'});
    expect(late!.lateMs).toBeGreaterThan(500);
    expect(end).toMatchObject({
      cause: 'quorumSilent',
      message: 'This replica is no longer the leader.',
    });
    expect(end!.turnLateMs).toBeGreaterThan(500);
  });

  test('tells a leadership that was handed over from one that lost its majority', () => {
    const watched = new Watched();
    watched.lead();
    watched.step({kind: 'transferLeadership'});
    expect(watched.lines).toMatchObject([{cause: 'handedOver', newTerm: 1, term: 1}]);
  });
});

describe('ReplicaTurns', () => {
  test('only voters look often', () => {
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

  test('looks as often as was set last', async () => {
    let looks = 0;
    const turns = new ReplicaTicker(() => looks++);
    expect([turns.tickEvery(5), turns.tickEvery(5), turns.tickEvery(1_000)]).toEqual([
      true,
      false,
      true,
    ]);
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect(looks).toBe(0);
    turns.tickEvery(5);
    await new Promise((resolve) => setTimeout(resolve, 100));
    turns.stop();
    expect(looks).toBeGreaterThan(3);
  });

  test('whoever may stand looks when it is time to, and stands at that look', () => {
    const watched = new Watched();
    for (let looks = 0; looks < 20; looks++) {
      const waitMs = msUntilElection(watched.state, watched.now)!;
      watched.now += waitMs - 1;
      const {electionCount} = watched.state;
      watched.step({kind: 'tick'});
      const isEarly = waitMs > 1 && watched.now < watched.state.electionAt;
      expect(watched.state.electionCount === electionCount).toBe(isEarly);
      watched.now += 1;
      watched.step({kind: 'tick'});
      expect(watched.state.electionCount).toBeGreaterThan(electionCount);
    }
    watched.lead();
    expect(msUntilElection(watched.state, watched.now)).toBeUndefined();
  });

  test('a single look comes when it is due, no later for what was put off, earlier when it must', async () => {
    const startedAt = performance.now();
    const looks: number[] = [];
    const turns = new ReplicaTicker(() => looks.push(performance.now() - startedAt));
    expect(turns.tickAfter(300, 0)).toBe(true);
    expect(turns.tickAfter(400, 50)).toBe(false);
    expect(turns.tickAfter(40, 100)).toBe(true);
    await new Promise((resolve) => setTimeout(resolve, 450));
    expect(looks).toHaveLength(1);
    expect(looks[0]).toBeGreaterThanOrEqual(39);
    expect(looks[0]).toBeLessThan(300);
    expect([turns.tickAfter(30, 500), turns.tickEvery(1_000)]).toEqual([true, true]);
    await new Promise((resolve) => setTimeout(resolve, 80));
    turns.stop();
    expect(looks).toHaveLength(1);
  });

  test('who is missing when no majority answers, now and then', () => {
    const watched = new Watched();
    for (let turn = 0; turn < 400; turn++) {
      watched.turn();
    }
    const lines = watched.lines.filter(({message}) => message.startsWith('No majority'));
    expect(lines[0]).toMatchObject({answered: SELF, missing: OTHER});
    expect(lines.length).toBeGreaterThan(1);
    expect(lines.length).toBeLessThanOrEqual(3);
  });
});
