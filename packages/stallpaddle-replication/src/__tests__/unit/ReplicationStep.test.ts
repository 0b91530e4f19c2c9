/**
 * Randomized and scripted runs of the replication state machine under message loss, duplication, reordering,
 * partitions, freezes and crashes.
 */
import type {ReplicaId} from 'stallpaddle';

import fc from 'fast-check';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {ReplicationCluster} from './ReplicationCluster';

const IDS: readonly ReplicaId[] = ['a/1', 'b/1', 'c/1'];

type Action =
  | {readonly kind: 'advance'; readonly ms: number}
  | {readonly kind: 'crash' | 'restart' | 'snapshot' | 'sync'; readonly replica: number}
  | {readonly kind: 'propose'}
  | {readonly from: number; readonly kind: 'cut' | 'heal'; readonly to: number}
  | {readonly keep: boolean; readonly kind: 'deliver'; readonly position: number}
  | {readonly count: number; readonly kind: 'flow'}
  | {readonly kind: 'drop'; readonly position: number}
  | {readonly kind: 'freeze'; readonly ms: number; readonly replica: number};

const replica = fc.nat({max: 2});
const position = fc.nat({max: 30});

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.integer({max: 60, min: 1}),
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      count: fc.integer({max: 40, min: 1}),
      kind: fc.constant('flow' as const),
    }),
    weight: 8,
  },
  {arbitrary: fc.constant({kind: 'propose' as const}), weight: 5},
  {arbitrary: fc.record({kind: fc.constant('sync' as const), replica}), weight: 4},
  {
    arbitrary: fc.record({keep: fc.boolean(), kind: fc.constant('deliver' as const), position}),
    weight: 6,
  },
  {arbitrary: fc.record({kind: fc.constant('drop' as const), position}), weight: 2},
  {arbitrary: fc.record({kind: fc.constant('crash' as const), replica}), weight: 1},
  {arbitrary: fc.record({kind: fc.constant('restart' as const), replica}), weight: 4},
  {arbitrary: fc.record({kind: fc.constant('snapshot' as const), replica}), weight: 1},
  {
    arbitrary: fc.record({from: replica, kind: fc.constant('cut' as const), to: replica}),
    weight: 1,
  },
  {
    arbitrary: fc.record({from: replica, kind: fc.constant('heal' as const), to: replica}),
    weight: 4,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('freeze' as const),
      ms: fc.integer({max: 300, min: 10}),
      replica,
    }),
    weight: 1,
  },
);

function flow(cluster: ReplicationCluster, count: number): void {
  for (let step = 0; step < count; step++) {
    cluster.ids.forEach((id) => cluster.sync(id));
    cluster.deliver(0, false);
  }
}

function perform(cluster: ReplicationCluster, step: Action, number: number): void {
  switch (step.kind) {
    case 'advance':
      cluster.advance(step.ms);
      return;
    case 'crash':
      cluster.crash(IDS[step.replica]!);
      return;
    case 'cut':
      cluster.cuts.add(`${IDS[step.from]}>${IDS[step.to]}`);
      return;
    case 'deliver':
      cluster.deliver(step.position, step.keep);
      return;
    case 'drop':
      cluster.drop(step.position);
      return;
    case 'flow':
      flow(cluster, step.count);
      return;
    case 'freeze':
      cluster.freeze(IDS[step.replica]!, step.ms);
      return;
    case 'heal':
      cluster.cuts.delete(`${IDS[step.from]}>${IDS[step.to]}`);
      return;
    case 'propose':
      // Only the leader accepts it.
      cluster.ids.forEach((id) => cluster.propose(id, `command-${number}-${id}`));
      return;
    case 'restart':
      cluster.restart(IDS[step.replica]!);
      return;
    case 'snapshot':
      cluster.snapshot(IDS[step.replica]!, 1);
      return;
    case 'sync':
      cluster.sync(IDS[step.replica]!);
      return;
  }
}

function electLeader(cluster: ReplicationCluster): ReplicaId {
  cluster.settle(600);
  const [leader] = cluster.leaseHolders();
  expect(leader).toBeDefined();
  return leader!;
}

describe('stepReplica', () => {
  test(
    'preserves acknowledged commands, a single lease and a single order under random failures',
    async () => {
      let acknowledged = 0;
      let caughtUpUpdates = 0;
      const property = fc.property(
        fc.array(action, {maxLength: 200, minLength: 40, size: 'max'}),
        (actions) => {
          const cluster = new ReplicationCluster(IDS);
          cluster.settle(250);
          actions.forEach((step, number) => perform(cluster, step, number));
          cluster.settle(1500);
          cluster.propose(cluster.leaseHolders()[0] ?? IDS[0]!, 'last');
          cluster.settle(200);
          cluster.checkConverged();
          acknowledged += cluster.acknowledged.length;
          caughtUpUpdates += cluster.caughtUpUpdates;
        },
      );
      await assertHistories('replication', property, 250);
      // Guards against runs in which nothing is acknowledged, which would pass trivially.
      expect(acknowledged).toBeGreaterThan(1000);
      expect(caughtUpUpdates).toBeGreaterThan(1000);
    },
    fuzzTimeoutMs(),
  );

  test('elects a new leader after the leader crashes', () => {
    const cluster = new ReplicationCluster(IDS);
    const first = electLeader(cluster);
    cluster.propose(first, 'one');
    cluster.settle(50);
    cluster.crash(first);
    const others = IDS.filter((id) => id !== first);
    for (let waited = 0; waited < 100; waited++) {
      cluster.advance(5);
      flow(cluster, 12);
    }
    const [second] = cluster.leaseHolders();
    expect(others).toContain(second);
    expect(cluster.replicas.get(second!)!.applied).toEqual(['one']);
  });

  test('rejects commands after a freeze longer than the lease', () => {
    const cluster = new ReplicationCluster(IDS);
    const first = electLeader(cluster);
    cluster.freeze(first, 400);
    for (let waited = 0; waited < 80; waited++) {
      cluster.advance(5);
      flow(cluster, 12);
    }
    // Resumes before it receives any message.
    cluster.replicas.get(first)!.frozenUntil = 0;
    cluster.propose(first, 'late');
    expect(cluster.leaseHolders()).not.toContain(first);
    cluster.settle(500);
    expect(cluster.acknowledged).not.toContain('late');
    cluster.checkConverged();
  });

  test('keeps the leader and its term when a partitioned replica returns', () => {
    const cluster = new ReplicationCluster(IDS);
    const leader = electLeader(cluster);
    const {term} = cluster.replicas.get(leader)!.state!;
    const [isolated] = IDS.filter((id) => id !== leader);
    for (const id of IDS.filter((other) => other !== isolated)) {
      cluster.cuts.add(`${id}>${isolated}`);
    }
    for (let waited = 0; waited < 200; waited++) {
      cluster.advance(5);
      flow(cluster, 12);
    }
    cluster.settle(300);
    expect(cluster.leaseHolders()).toEqual([leader]);
    expect(cluster.replicas.get(leader)!.state!.term).toBe(term);
  });

  test('restores a lagging replica by snapshot after log compaction', () => {
    const cluster = new ReplicationCluster(IDS);
    const leader = electLeader(cluster);
    const [lagging] = IDS.filter((id) => id !== leader);
    cluster.crash(lagging!);
    const run = (): void => {
      cluster.advance(5);
      flow(cluster, 10);
    };
    for (let number = 0; number < 30; number++) {
      cluster.propose(leader, `c${number}`);
      run();
    }
    cluster.snapshot(leader, 0);
    cluster.settle(600);
    expect(cluster.replicas.get(lagging!)!.applied).toEqual(cluster.acknowledged);
    expect(cluster.acknowledged).toHaveLength(30);
  });

  test('replaces a lost disk and then tolerates the loss of another replica', () => {
    const cluster = new ReplicationCluster(IDS);
    const leader = electLeader(cluster);
    for (let number = 0; number < 10; number++) {
      cluster.propose(leader, `c${number}`);
    }
    cluster.settle(100);
    const [lost, other] = IDS.filter((id) => id !== leader) as [ReplicaId, ReplicaId];
    cluster.removePermanently(lost);
    cluster.addReplica('d/2', 1, null);
    cluster.changeMembers(leader, {learners: ['d/2'], voters: IDS});
    cluster.settle(300);
    expect(cluster.caughtUp(leader, 'd/2')).toBe(true);
    cluster.changeMembers(leader, {learners: [], voters: [...IDS, 'd/2']});
    cluster.settle(300);
    cluster.changeMembers(leader, {learners: [], voters: [leader, other, 'd/2']});
    cluster.settle(300);
    cluster.removePermanently(leader);
    cluster.settle(900);
    cluster.checkConverged();
    expect(cluster.acknowledged).toHaveLength(10);
    const [second] = cluster.leaseHolders();
    cluster.propose(second!, 'after');
    cluster.settle(200);
    expect(cluster.acknowledged).toContain('after');
  });

  test('never counts votes of a replaced disk', () => {
    const cluster = new ReplicationCluster(IDS);
    const leader = electLeader(cluster);
    const [lost, other] = IDS.filter((id) => id !== leader) as [ReplicaId, ReplicaId];
    // Only the leader and the lost replica have the command.
    cluster.cuts.add(`${leader}>${other}`);
    cluster.propose(leader, 'kept');
    for (let waited = 0; waited < 6; waited++) {
      cluster.advance(5);
      flow(cluster, 12);
    }
    expect(cluster.acknowledged).toEqual(['kept']);
    cluster.removePermanently(lost);
    cluster.crash(leader);
    cluster.addReplica('b/2', 1, null);
    cluster.cuts.clear();
    for (let waited = 0; waited < 200; waited++) {
      cluster.advance(5);
      flow(cluster, 12);
    }
    // The remaining replica and the empty disk are no majority, so no replica may lead without the command.
    expect(cluster.leaseHolders()).toEqual([]);
  });

  test('lets a leader remove itself: it leads until the change is committed, then another is elected', () => {
    const cluster = new ReplicationCluster(IDS);
    const leader = electLeader(cluster);
    cluster.propose(leader, 'one');
    cluster.settle(100);
    cluster.addReplica('d/2', 1, null);
    const others = IDS.filter((id) => id !== leader);
    cluster.changeMembers(leader, {learners: ['d/2'], voters: IDS});
    cluster.settle(300);
    cluster.changeMembers(leader, {learners: [], voters: [...IDS, 'd/2']});
    cluster.settle(300);
    cluster.changeMembers(leader, {learners: [], voters: [...others, 'd/2']});
    cluster.settle(900);
    expect(cluster.replicas.get(leader)!.state!.role.kind).toBe('follower');
    const [next] = cluster.leaseHolders();
    expect([...others, 'd/2']).toContain(next);
    cluster.removePermanently(leader);
    cluster.propose(next!, 'two');
    cluster.settle(300);
    cluster.checkConverged();
    expect(cluster.acknowledged).toEqual(['one', 'two']);
  });

  test('rejects concurrent membership changes', () => {
    const cluster = new ReplicationCluster(IDS);
    const leader = electLeader(cluster);
    const lastIndex = cluster.replicas.get(leader)!.state!.log.lastIndex;
    cluster.changeMembers(leader, {learners: [], voters: [leader]});
    expect(cluster.replicas.get(leader)!.state!.log.lastIndex).toBe(lastIndex);
    cluster.changeMembers(leader, {learners: ['d/1'], voters: IDS});
    cluster.changeMembers(leader, {learners: ['d/1', 'e/1'], voters: IDS});
    expect(cluster.replicas.get(leader)!.state!.log.members.learners).toEqual(['d/1']);
  });
});
