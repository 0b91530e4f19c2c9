import type {ReplicaId} from 'stallpaddle';

import {describe, expect, test} from 'vitest';

/** Scripted failures, one for each rule that the safety of the log depends on. */
import type {
  LogEntry,
  Message,
  MessageBody,
  ReplicationEvent,
  ReplicationState,
} from '../../ReplicationTypes';

import {STALLED_COMMIT_TIMEOUTS} from '../../ReplicationConstants';
import {entryBytes, ReplicationLog} from '../../ReplicationLog';
import {isUrgent, startReplica, stepReplica} from '../../ReplicationStep';
import {ReplicationCluster} from './ReplicationCluster';

const IDS: readonly ReplicaId[] = ['a/1', 'b/1', 'c/1'];
const ELECTION_MS = 100;

function voteRequest(
  from: ReplicaId,
  to: ReplicaId,
  term: number,
  lastIndex: number,
  lastTerm: number,
): Message {
  return {body: {kind: 'vote', lastIndex, lastTerm, transfer: false}, from, group: 'g', term, to};
}

function votesOf(
  cluster: ReplicationCluster,
  voter: ReplicaId,
  term: number,
): readonly ReplicaId[] {
  return cluster
    .messagesFrom(voter)
    .filter(({body, term: at}) => at === term && body.kind === 'voteReply' && body.granted)
    .map(({to}) => to);
}

/** A cluster with an elected leader and no messages in transit. */
function settledCluster(): {
  readonly leader: ReplicaId;
  readonly others: readonly [ReplicaId, ReplicaId];
  readonly cluster: ReplicationCluster;
} {
  const cluster = new ReplicationCluster(IDS);
  cluster.settle(600);
  const [leader] = cluster.leaseHolders();
  const others = IDS.filter((id) => id !== leader) as [ReplicaId, ReplicaId];
  cluster.packets.length = 0;
  return {cluster, leader: leader!, others};
}

describe('a vote', () => {
  test('is sent only once it is synced, so that it is not granted twice after a restart', () => {
    const cluster = new ReplicationCluster(IDS);
    cluster.now += ELECTION_MS * 3;
    cluster.inject(voteRequest('a/1', 'b/1', 9, 0, 0));
    cluster.crash('b/1');
    cluster.restart('b/1');
    cluster.now += ELECTION_MS * 3;
    cluster.inject(voteRequest('c/1', 'b/1', 9, 0, 0));
    cluster.sync('b/1');
    expect(votesOf(cluster, 'b/1', 9)).toEqual(['c/1']);
  });

  test('is not granted to a replica with an outdated log', () => {
    const {cluster, leader, others} = settledCluster();
    cluster.propose(leader, 'x');
    cluster.sync(leader);
    cluster.deliverBetween(leader, others[0]);
    cluster.sync(others[0]);
    const {lastIndex, lastTerm} = cluster.replicas.get(others[1])!.state!.log;
    const {term} = cluster.replicas.get(leader)!.state!;
    cluster.now += ELECTION_MS * 3;
    cluster.inject(voteRequest(others[1], others[0], term + 1, lastIndex, lastTerm));
    cluster.sync(others[0]);
    expect(votesOf(cluster, others[0], term + 1)).toEqual([]);
  });

  test('is withheld, without a change of term, while a leader may hold its lease', () => {
    const {cluster, leader, others} = settledCluster();
    const {log, term} = cluster.replicas.get(leader)!.state!;
    cluster.inject(voteRequest(others[1], others[0], term + 1, log.lastIndex, log.lastTerm));
    cluster.sync(others[0]);
    expect(votesOf(cluster, others[0], term + 1)).toEqual([]);
    expect(cluster.replicas.get(others[0])!.state!.term).toBe(term);
  });

  test('is withheld for an election timeout after a restart', () => {
    const {cluster, leader, others} = settledCluster();
    const {log, term} = cluster.replicas.get(leader)!.state!;
    cluster.crash(others[0]);
    cluster.restart(others[0]);
    const request = voteRequest(others[1], others[0], term + 1, log.lastIndex, log.lastTerm);
    cluster.inject(request);
    cluster.sync(others[0]);
    expect(votesOf(cluster, others[0], term + 1)).toEqual([]);
    cluster.now += ELECTION_MS * 3;
    cluster.inject(request);
    cluster.sync(others[0]);
    expect(votesOf(cluster, others[0], term + 1)).toEqual([others[1]]);
  });
});

describe('a command', () => {
  test('is acknowledged only once a majority has synced it; an unsynced leader does not count', () => {
    const {cluster, leader, others} = settledCluster();
    cluster.propose(leader, 'x');
    // One follower has synced, the leader has not.
    cluster.deliverBetween(leader, others[0]);
    cluster.sync(others[0]);
    cluster.deliverBetween(others[0], leader);
    expect(cluster.acknowledged).toEqual([]);
    cluster.crash(leader);
    cluster.crash(others[0]);
    cluster.restart(leader);
    cluster.removePermanently(others[0]);
    cluster.settle(900);
    cluster.checkConverged();
  });

  test('is not acknowledged by a follower that has not synced it', () => {
    const {cluster, leader, others} = settledCluster();
    cluster.propose(leader, 'x');
    cluster.sync(leader);
    cluster.deliverBetween(leader, others[0]);
    cluster.deliverBetween(others[0], leader);
    expect(cluster.acknowledged).toEqual([]);
    cluster.sync(others[0]);
    cluster.deliverBetween(others[0], leader);
    expect(cluster.acknowledged).toEqual(['x']);
  });

  test('of an earlier term is committed only together with an entry of the current term', () => {
    const members = {learners: [], voters: IDS};
    const old = {index: 1, payload: {data: Buffer.from('old'), kind: 'command' as const}, term: 2};
    const log = ReplicationLog.restore({index: 0, members, term: 0}, [old]);
    const timing = {electionTimeoutMs: ELECTION_MS, heartbeatMs: 20, leaseDriftFraction: 0.2};
    const hardState = {term: 2, votedFor: null};
    let now = 0;
    let state = startReplica({group: 'g', hardState, log, self: 'a/1', timing}, now);
    const receive = (body: MessageBody, term: number): void => {
      const message = {body, from: 'b/1', group: 'g', term, to: 'a/1'};
      state = stepReplica(state, {kind: 'message', message}, now).state;
    };
    now = ELECTION_MS * 3;
    state = stepReplica(state, {kind: 'tick'}, now).state;
    receive({granted: true, kind: 'preVoteReply'}, 2);
    receive({granted: true, kind: 'voteReply'}, 3);
    expect(state.role.kind).toBe('leader');
    state = stepReplica(state, {index: 1, kind: 'persisted', term: 2}, now).state;
    receive({kind: 'appendReply', lastIndex: 1, ok: true, sentAt: now}, 3);
    expect(state.commit).toBe(0);
    state = stepReplica(state, {index: 2, kind: 'persisted', term: 3}, now).state;
    receive({kind: 'appendReply', lastIndex: 2, ok: true, sentAt: now}, 3);
    expect(state.commit).toBe(2);
  });
});

describe('a membership change', () => {
  const four = ['a/1', 'b/1', 'c/1', 'd/1'];
  const three = {learners: [], voters: ['a/1', 'b/1', 'c/1']};

  /** A leader of term 3 whose log holds an entry of term 2 that is not known to be committed. */
  function newLeader(payload: LogEntry['payload']) {
    const members = {learners: [], voters: four};
    const log = ReplicationLog.restore({index: 0, members, term: 0}, [
      {index: 1, payload, term: 2},
    ]);
    const timing = {electionTimeoutMs: ELECTION_MS, heartbeatMs: 20, leaseDriftFraction: 0.2};
    const start = {group: 'g', hardState: {term: 2, votedFor: null}, log, self: 'a/1', timing};
    const now = ELECTION_MS * 3;
    let state = startReplica(start, 0);
    const step = (event: ReplicationEvent): readonly string[] => {
      const {effects, state: next} = stepReplica(state, event, now);
      state = next;
      return effects.map(({kind}) => kind);
    };
    const receive = (from: ReplicaId, body: MessageBody, term: number): void => {
      step({kind: 'message', message: {body, from, group: 'g', term, to: 'a/1'}});
    };
    const others = four.slice(1);
    step({kind: 'tick'});
    others.forEach((from) => receive(from, {granted: true, kind: 'preVoteReply'}, 2));
    others.forEach((from) => receive(from, {granted: true, kind: 'voteReply'}, 3));
    expect(state.role.kind).toBe('leader');
    const acknowledge = (lastIndex: number): void => {
      step({index: lastIndex, kind: 'persisted', term: lastIndex === 1 ? 2 : 3});
      const body = {kind: 'appendReply' as const, lastIndex, ok: true, sentAt: now};
      others.forEach((from) => receive(from, body, 3));
    };
    const change = (): readonly string[] =>
      step({kind: 'changeMembers', members: three, requestId: 1});
    return {acknowledge, change, commit: () => state.commit};
  }

  test('is rejected until an entry of the leader’s own term is committed, even if no other change is pending', () => {
    // Otherwise two leaders with different pending changes could commit them by disjoint majorities.
    const {acknowledge, change, commit} = newLeader({kind: 'noop'});
    acknowledge(1);
    expect(commit()).toBe(0);
    expect(change()).toEqual(['rejected']);
    acknowledge(2);
    expect(commit()).toBe(2);
    expect(change()).toContain('proposed');
  });

  test('is rejected while a change of an earlier leader or an own one is uncommitted', () => {
    const members = {learners: ['e/1'], voters: four};
    const {acknowledge, change} = newLeader({kind: 'members', members});
    expect(change()).toEqual(['rejected']);
    acknowledge(2);
    expect(change()).toContain('proposed');
    expect(change()).toEqual(['rejected']);
  });
});

describe('a snapshot', () => {
  test('never removes later entries that count towards a majority', () => {
    const {cluster, leader, others} = settledCluster();
    for (let number = 0; number < 5; number++) {
      cluster.propose(leader, `c${number}`);
    }
    cluster.sync(leader);
    cluster.deliverBetween(leader, others[0]);
    cluster.sync(others[0]);
    const before = cluster.replicas.get(others[0])!.state!;
    const index = before.log.lastIndex - 2;
    expect(before.commit).toBeLessThan(index);
    const meta = {index, members: before.log.members, term: before.log.termAt(index)!};
    const event = {kind: 'snapshotInstalled' as const, meta, term: before.term};
    const after = stepReplica(before, event, cluster.now).state;
    expect(after.log.lastIndex).toBe(before.log.lastIndex);
  });

  test('that is outdated changes nothing', () => {
    const {cluster, leader} = settledCluster();
    const before = cluster.replicas.get(leader)!.state!;
    const meta = {index: 0, members: before.log.members, term: 0};
    const after = stepReplica(
      before,
      {kind: 'snapshotInstalled', meta, term: 0},
      cluster.now,
    ).state;
    expect(after.commit).toBe(before.commit);
    expect(after.log.lastIndex).toBe(before.log.lastIndex);
  });
});

describe('leadership', () => {
  test('ends, with its lease, as soon as it is transferred', () => {
    const {cluster, leader} = settledCluster();
    const replica = cluster.replicas.get(leader)!;
    replica.state = stepReplica(replica.state!, {kind: 'transferLeadership'}, cluster.now).state;
    expect(cluster.leaseHolders()).toEqual([]);
  });

  test('ends when no majority responds', () => {
    const {cluster, leader, others} = settledCluster();
    others.forEach((id) => cluster.crash(id));
    for (let waited = 0; waited < 60; waited++) {
      cluster.advance(5);
      cluster.sync(leader);
    }
    expect(cluster.replicas.get(leader)!.state!.role.kind).not.toBe('leader');
  });
});

/**
 * Guards against a leader that steps down because its own process was paused for a short time: it sent nothing
 * meanwhile, so nobody could acknowledge it.
 */
describe('a leader whose process is paused', () => {
  /** State of the leader after clock ticks without any message in between. */
  function afterTicks(ticks: readonly number[]): ReplicationState {
    const {cluster, leader} = settledCluster();
    const now = cluster.clockOf(leader);
    return ticks.reduce(
      (state, ms) => stepReplica(state, {kind: 'tick'}, now + ms).state,
      cluster.replicas.get(leader)!.state!,
    );
  }

  /** Ticks on schedule between two times. */
  function ticksBetween(from: number, to: number): readonly number[] {
    return Array.from({length: Math.floor((to - from) / 5)}, (_, at) => from + 5 * (at + 1));
  }

  test('stays leader after a short pause in which it sent nothing', () => {
    const pausedMs = ELECTION_MS * 1.2;
    expect(afterTicks([pausedMs]).role.kind).toBe('leader');
    expect(afterTicks([...ticksBetween(0, 40), 40 + pausedMs / 2]).role.kind).toBe('leader');
    // It steps down if what it sends now is not acknowledged.
    const ticks = [pausedMs, ...ticksBetween(pausedMs, pausedMs + ELECTION_MS)];
    expect(afterTicks(ticks).role.kind).toBe('follower');
  });

  test('counts a pause after the newest acknowledged send', () => {
    const {cluster, leader, others} = settledCluster();
    const now = cluster.clockOf(leader);
    const before = cluster.replicas.get(leader)!.state!;
    let state = stepReplica(before, {kind: 'tick'}, now + 20).state;
    state = stepReplica(state, {kind: 'tick'}, now + 20 + ELECTION_MS * 0.9).state;
    // The reply to an earlier send arrives only now.
    const body = {kind: 'aliveReply' as const, sentAt: now + 20};
    const message = {body, from: others[0], group: 'g', term: state.term, to: leader};
    state = stepReplica(state, {kind: 'message', message}, now + 21 + ELECTION_MS * 0.9).state;
    for (const ms of ticksBetween(20 + ELECTION_MS * 0.9, ELECTION_MS * 1.6)) {
      state = stepReplica(state, {kind: 'tick'}, now + ms).state;
    }
    expect(state.role.kind).toBe('leader');
  });

  test('steps down after a pause so long that another leader has been elected', () => {
    expect(afterTicks([ELECTION_MS * 2.1]).role.kind).toBe('follower');
  });

  test('steps down in bounded time when it is paused repeatedly', () => {
    const ticks = Array.from({length: 8}, (_, at) => (at + 1) * ELECTION_MS * 0.3);
    expect(afterTicks(ticks).role.kind).toBe('follower');
  });
});

describe('the elapsed time of commands', () => {
  test('is never counted twice across leaders, even if one is elected again', () => {
    const cluster = new ReplicationCluster(IDS);
    for (let turn = 0; turn < 8; turn++) {
      cluster.settle(600);
      const [leader] = cluster.leaseHolders();
      cluster.propose(leader!, `a${turn}`);
      cluster.settle(100);
      cluster.propose(leader!, `b${turn}`);
      cluster.settle(50);
      cluster.freeze(leader!, 400);
    }
    cluster.settle(600);
    // The cluster checks the sum with each command. Only the time of leader changes is not counted.
    expect(cluster.countedMs).toBeGreaterThan(8 * 100);
  });
});

describe('a leader with slow appends', () => {
  /** Delivers urgent messages and their replies; appends stay in transit. */
  function deliverUrgent(cluster: ReplicationCluster): void {
    for (let position = 0; position < cluster.packets.length;) {
      const packet = cluster.packets[position]!;
      if (packet.kind === 'message' && isUrgent(packet.message)) {
        cluster.deliver(position, false);
      } else {
        position++;
      }
    }
  }

  test('keeps its lease through urgent messages and commits the command in its term', () => {
    const {cluster, leader} = settledCluster();
    const {term} = cluster.replicas.get(leader)!.state!;
    cluster.propose(leader, 'large');
    // Almost as long as commands may stay uncommitted.
    for (let ms = 0; ms < ELECTION_MS * (STALLED_COMMIT_TIMEOUTS - 1); ms += 5) {
      cluster.advance(5);
      deliverUrgent(cluster);
      expect(cluster.leaseHolders()).toEqual([leader]);
    }
    expect(cluster.acknowledged).toEqual([]);
    cluster.settle(50);
    expect(cluster.acknowledged).toEqual(['large']);
    expect(cluster.replicas.get(leader)!.state!.term).toBe(term);
  });

  /** Runs the cluster, dropping selected messages of one replica. */
  function runWithLoss(
    cluster: ReplicationCluster,
    from: ReplicaId,
    ms: number,
    isLost: (message: Message) => boolean,
  ): void {
    for (const until = cluster.now + ms; cluster.now < until;) {
      cluster.advance(5);
      for (let round = 0; round < 4; round++) {
        cluster.ids.forEach((id) => cluster.sync(id));
        for (let left = cluster.packets.length; left > 0; left--) {
          const packet = cluster.packets[0]!;
          const isFromReplica = packet.kind === 'message' && packet.from === from;
          if (isFromReplica && isLost(packet.message)) {
            cluster.drop(0);
          } else {
            cluster.deliver(0, false);
          }
        }
      }
    }
  }

  function bytesOf({body}: Message): number {
    const entries = body.kind === 'append' ? body.entries : [];
    return entries.reduce((sum, entry) => sum + entryBytes(entry), 0);
  }

  test('steps down for a replica that can commit when its large entries never get through', () => {
    const {cluster, leader} = settledCluster();
    cluster.propose(leader, 'x'.repeat(200_000));
    const isLarge = (message: Message): boolean => bytesOf(message) > 65_536;
    runWithLoss(cluster, leader, ELECTION_MS * 30, isLarge);
    const [next] = cluster.leaseHolders();
    expect([next, next === leader]).toEqual([next, false]);
    expect(next).toBeDefined();
    cluster.propose(next!, 'later');
    runWithLoss(cluster, leader, ELECTION_MS, isLarge);
    expect(cluster.acknowledged).toEqual(['later']);
  });

  test('steps down when only urgent messages get through', () => {
    const {cluster, leader} = settledCluster();
    cluster.propose(leader, 'x');
    runWithLoss(cluster, leader, ELECTION_MS * 30, (message) => !isUrgent(message));
    expect(cluster.leaseHolders()).not.toContain(leader);
    expect(cluster.leaseHolders()).toHaveLength(1);
  });

  test('stays leader while appends are acknowledged slowly', () => {
    const {cluster, leader} = settledCluster();
    const {term} = cluster.replicas.get(leader)!.state!;
    for (let turn = 0; turn < 40; turn++) {
      cluster.propose(leader, `c${turn}`);
      runWithLoss(
        cluster,
        leader,
        ELECTION_MS / 2,
        (message) => turn % 8 !== 0 && !isUrgent(message),
      );
    }
    expect(cluster.replicas.get(leader)!.state!.term).toBe(term);
    expect(cluster.acknowledged.length).toBeGreaterThan(20);
  });

  test('steps down when no message gets through', () => {
    const {cluster, leader} = settledCluster();
    for (let ms = 0; ms < ELECTION_MS * 2; ms += 5) {
      cluster.advance(5);
    }
    expect(cluster.leaseHolders()).toEqual([]);
    expect(cluster.replicas.get(leader)!.state!.role.kind).not.toBe('leader');
  });

  test('sends no large entry to a replica in probe mode before it replies', () => {
    const {cluster, leader, others} = settledCluster();
    const {lastIndex} = cluster.replicas.get(leader)!.state!.log;
    cluster.propose(leader, 'x'.repeat(100_000));
    cluster.packets.length = 0;
    const {log, term} = cluster.replicas.get(leader)!.state!;
    const reply = {kind: 'appendReply' as const, lastIndex, ok: false, sentAt: 0};
    const from = others[0];
    cluster.inject({body: reply, from, group: 'g', term, to: leader});
    for (let ms = 0; ms < ELECTION_MS / 2; ms += 5) {
      cluster.advance(5);
    }
    const entries = cluster
      .messagesFrom(leader)
      .flatMap(({body, to}) => (body.kind === 'append' && to === from ? body.entries : []));
    expect(entries.reduce((sum, entry) => sum + entryBytes(entry), 0)).toBe(0);
    // The reply to an empty probe makes the leader send the entry.
    const again = {...reply, ok: true};
    cluster.inject({body: again, from, group: 'g', term, to: leader});
    const sent = cluster.messagesFrom(leader).at(-1)!.body;
    expect(sent).toMatchObject({entries: [{index: log.lastIndex}], kind: 'append'});
  });
});
