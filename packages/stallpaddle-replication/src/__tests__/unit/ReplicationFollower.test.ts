/**
 * When a follower may consider itself caught up, which commit index a leader may send, and whom it transfers leadership
 * to.
 */
import type {MonotonicMs, ReplicaId} from 'stallpaddle';

import {describe, expect, test} from 'vitest';

import type {
  LogIndex,
  Message,
  MessageBody,
  ReplicationEvent,
  ReplicationState,
  ReplicationStepResult,
} from '../../ReplicationTypes';

import {ReplicationLog} from '../../ReplicationLog';
import {startReplica, stepReplica} from '../../ReplicationStep';

const TIMING = {electionTimeoutMs: 100, heartbeatMs: 20, leaseDriftFraction: 0.2};
const SELF = 'a/1';
const LEADER = 'b/1';
const OTHER = 'c/1';
const MEMBERS = {learners: [], voters: [SELF, LEADER, OTHER]};

function start(self: string): ReplicationState {
  const log = ReplicationLog.restore({index: 0, members: MEMBERS, term: 0}, []);
  const hardState = {term: 0, votedFor: null};
  return startReplica({group: 'g', hardState, log, self, timing: TIMING}, 0);
}

function take(
  state: ReplicationState,
  body: MessageBody,
  term: number,
  now: MonotonicMs,
): ReplicationState {
  const message: Message = {body, from: LEADER, group: 'g', term, to: state.self};
  return stepReplica(state, {kind: 'message', message}, now).state;
}

/** An append with the first entry of the term as its only entry, committed or not. */
function append(commit: number, sentAt: MonotonicMs, answeredSentAt = -Infinity): MessageBody {
  const entry = {index: 1, payload: {kind: 'noop'}, term: 1} as const;
  const place = {prevIndex: 0, prevTerm: 0};
  return {answeredSentAt, commit, entries: [entry], kind: 'append', sentAt, ...place};
}

describe('a follower', () => {
  test('does not treat appends queued during a freeze as current', () => {
    // Both clocks are equal. The follower is frozen from 0 to 5000, then receives appends sent at 1000 and 1100.
    let follower = take(start(SELF), append(0, 1000), 1, 5000);
    follower = take(follower, append(1, 1100), 1, 5000);
    expect(follower.commit).toBe(1);
    expect(follower.caughtUpAt).toBeLessThanOrEqual(1100);
  });

  test('has caught up as of an acknowledgement that a later append refers to', () => {
    let follower = take(start(SELF), append(0, 1000), 1, 1050);
    follower = take(follower, append(1, 1100, 1000), 1, 9000);
    expect(follower.caughtUpAt).toBe(1050);
    follower = take(follower, append(1, 1200, 1100), 1, 9001);
    expect(follower.caughtUpAt).toBe(9000);
  });

  test('ignores references to acknowledgements sent before a restart', () => {
    let follower = take(start(SELF), append(0, 1100), 1, 50);
    follower = take(follower, append(1, 1200, 1000), 1, 51);
    expect(follower.caughtUpAt).toBe(-Infinity);
  });

  test('ignores references to acknowledgements of an earlier term, and commit indexes beyond its log', () => {
    let follower = take(start(SELF), append(0, 1000), 1, 1050);
    follower = take(follower, append(1, 1100, 1000), 2, 1150);
    expect(follower.caughtUpAt).toBe(-Infinity);
    follower = take(follower, append(9, 1200, 1100), 2, 1250);
    expect(follower.caughtUpAt).toBe(-Infinity);
  });
});

/** Commit indexes in the appends of a leader. */
function sentCommits({effects}: ReplicationStepResult): readonly LogIndex[] {
  return effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.body.kind === 'append'
      ? [effect.message.body.commit]
      : [],
  );
}

function from(replica: ReplicaId, term: number, body: MessageBody): ReplicationEvent {
  return {kind: 'message', message: {body, from: replica, group: 'g', term, to: LEADER}};
}

function ack(replica: ReplicaId, lastIndex: LogIndex): ReplicationEvent {
  return from(replica, 1, {kind: 'appendReply', lastIndex, ok: true, sentAt: 301});
}

/** A leader of the first term, elected at 301, whose first entry is not synced yet. */
function elected(state: ReplicationState): ReplicationState {
  let leader = stepReplica(state, {kind: 'tick'}, 300).state;
  for (const kind of ['preVoteReply', 'voteReply'] as const) {
    const {term} = leader;
    leader = stepReplica(leader, from(SELF, term, {granted: true, kind}), 301).state;
  }
  expect(leader.role.kind).toBe('leader');
  return leader;
}

describe('a leader without a lease sends no commit index', () => {
  test('after a freeze, because a new leader may have committed more', () => {
    let leader = elected(start(LEADER));
    leader = stepReplica(leader, {index: 1, kind: 'persisted', term: 1}, 302).state;
    leader = stepReplica(leader, ack(SELF, 1), 303).state;
    expect(leader.commit).toBe(1);
    // On resuming, it receives an outdated reply before its next clock tick.
    const resumed = stepReplica(leader, ack(OTHER, 0), 9_000);
    expect(sentCommits(resumed)).toEqual([0]);
  });

  test('before an entry of its own term is committed, because the previous leader may have committed more', () => {
    const entries = [1, 2].map((index) => ({index, payload: {kind: 'noop'}, term: 0}) as const);
    const log = ReplicationLog.restore({index: 0, members: MEMBERS, term: 0}, entries);
    const hardState = {commit: 1, term: 0, votedFor: null};
    const before = startReplica({group: 'g', hardState, log, self: LEADER, timing: TIMING}, 0);
    const leader = elected(before);
    expect([leader.commit, leader.log.lastIndex]).toEqual([1, 3]);
    // The previous leader committed the second entry and served reads of it; this leader does not know.
    const beat = stepReplica(leader, {kind: 'tick'}, 301 + TIMING.heartbeatMs);
    expect(sentCommits(beat)).toEqual([0, 0]);
  });
});

describe('a leadership transfer', () => {
  test('goes to the next voter in order if several are equally up to date', () => {
    // Otherwise two replicas that lack bulk data would pass leadership back and forth and never reach a third one that
    // holds it.
    let leader = elected(start(LEADER));
    leader = stepReplica(leader, {index: 1, kind: 'persisted', term: 1}, 302).state;
    leader = stepReplica(leader, ack(SELF, 1), 303).state;
    leader = stepReplica(leader, ack(OTHER, 1), 303).state;
    const {effects} = stepReplica(leader, {kind: 'transferLeadership'}, 304);
    const asked = effects.flatMap((effect) =>
      effect.kind === 'send' && effect.message.body.kind === 'timeoutNow'
        ? [effect.message.to]
        : [],
    );
    expect(asked).toEqual([OTHER]);
  });
});
