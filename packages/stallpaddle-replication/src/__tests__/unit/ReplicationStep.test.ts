/**
 * The replication state machine under losses, doubling, reordering, cuts, freezes and crashes.
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

function flow(world: ReplicationCluster, count: number): void {
  for (let step = 0; step < count; step++) {
    world.ids.forEach((id) => world.sync(id));
    world.deliver(0, false);
  }
}

function perform(world: ReplicationCluster, step: Action, number: number): void {
  switch (step.kind) {
    case 'advance':
      world.advance(step.ms);
      return;
    case 'crash':
      world.crash(IDS[step.replica]!);
      return;
    case 'cut':
      world.cuts.add(`${IDS[step.from]}>${IDS[step.to]}`);
      return;
    case 'deliver':
      world.deliver(step.position, step.keep);
      return;
    case 'drop':
      world.drop(step.position);
      return;
    case 'flow':
      flow(world, step.count);
      return;
    case 'freeze':
      world.freeze(IDS[step.replica]!, step.ms);
      return;
    case 'heal':
      world.cuts.delete(`${IDS[step.from]}>${IDS[step.to]}`);
      return;
    case 'propose':
      // Whoever leads takes it; the others refuse.
      world.ids.forEach((id) => world.propose(id, `command-${number}-${id}`));
      return;
    case 'restart':
      world.restart(IDS[step.replica]!);
      return;
    case 'snapshot':
      world.snapshot(IDS[step.replica]!, 1);
      return;
    case 'sync':
      world.sync(IDS[step.replica]!);
      return;
  }
}

function leaderOf(world: ReplicationCluster): ReplicaId {
  world.settle(600);
  const [leader] = world.leaseHolders();
  expect(leader).toBeDefined();
  return leader!;
}

describe('stepReplica', () => {
  test(
    'keeps every acknowledged command, one lease and one order under random failures',
    async () => {
      let acknowledged = 0;
      let completions = 0;
      const property = fc.property(
        fc.array(action, {maxLength: 200, minLength: 40, size: 'max'}),
        (actions) => {
          const world = new ReplicationCluster(IDS);
          world.settle(250);
          actions.forEach((step, number) => perform(world, step, number));
          world.settle(1500);
          world.propose(world.leaseHolders()[0] ?? IDS[0]!, 'last');
          world.settle(200);
          world.checkConverged();
          acknowledged += world.acknowledged.length;
          completions += world.completions;
        },
      );
      await assertHistories('replication', property, 250);
      // A world in which nothing is ever acknowledged would prove nothing.
      expect(acknowledged).toBeGreaterThan(1000);
      expect(completions).toBeGreaterThan(1000);
    },
    fuzzTimeoutMs(),
  );

  test('elects a leader again after the leader was killed', () => {
    const world = new ReplicationCluster(IDS);
    const first = leaderOf(world);
    world.propose(first, 'one');
    world.settle(50);
    world.crash(first);
    const others = IDS.filter((id) => id !== first);
    for (let waited = 0; waited < 100; waited++) {
      world.advance(5);
      flow(world, 12);
    }
    const [second] = world.leaseHolders();
    expect(others).toContain(second);
    expect(world.replicas.get(second!)!.applied).toEqual(['one']);
  });

  test('takes nothing on after a freeze longer than the lease', () => {
    const world = new ReplicationCluster(IDS);
    const first = leaderOf(world);
    world.freeze(first, 400);
    for (let waited = 0; waited < 80; waited++) {
      world.advance(5);
      flow(world, 12);
    }
    // Awake again, before it has heard of anything.
    world.replicas.get(first)!.frozenUntil = 0;
    world.propose(first, 'late');
    expect(world.leaseHolders()).not.toContain(first);
    world.settle(500);
    expect(world.acknowledged).not.toContain('late');
    world.checkConverged();
  });

  test('does not disturb a leader by a replica that was cut off', () => {
    const world = new ReplicationCluster(IDS);
    const leader = leaderOf(world);
    const {term} = world.replicas.get(leader)!.state!;
    const [alone] = IDS.filter((id) => id !== leader);
    for (const id of IDS.filter((other) => other !== alone)) {
      world.cuts.add(`${id}>${alone}`);
    }
    for (let waited = 0; waited < 200; waited++) {
      world.advance(5);
      flow(world, 12);
    }
    world.settle(300);
    expect(world.leaseHolders()).toEqual([leader]);
    expect(world.replicas.get(leader)!.state!.term).toBe(term);
  });

  test('brings a replica back by snapshot after the log was cut', () => {
    const world = new ReplicationCluster(IDS);
    const leader = leaderOf(world);
    const [away] = IDS.filter((id) => id !== leader);
    world.crash(away!);
    const runs = (): void => {
      world.advance(5);
      flow(world, 10);
    };
    for (let number = 0; number < 30; number++) {
      world.propose(leader, `c${number}`);
      runs();
    }
    world.snapshot(leader, 0);
    world.settle(600);
    expect(world.replicas.get(away!)!.applied).toEqual(world.acknowledged);
    expect(world.acknowledged).toHaveLength(30);
  });

  test('replaces a lost disk, and stands the loss of another replica right after', () => {
    const world = new ReplicationCluster(IDS);
    const leader = leaderOf(world);
    for (let number = 0; number < 10; number++) {
      world.propose(leader, `c${number}`);
    }
    world.settle(100);
    const [lost, other] = IDS.filter((id) => id !== leader) as [ReplicaId, ReplicaId];
    world.loseForGood(lost);
    world.addReplica('d/2', 1, null);
    world.changeMembers(leader, {learners: ['d/2'], voters: IDS});
    world.settle(300);
    expect(world.caughtUp(leader, 'd/2')).toBe(true);
    world.changeMembers(leader, {learners: [], voters: [...IDS, 'd/2']});
    world.settle(300);
    world.changeMembers(leader, {learners: [], voters: [leader, other, 'd/2']});
    world.settle(300);
    world.loseForGood(leader);
    world.settle(900);
    world.checkConverged();
    expect(world.acknowledged).toHaveLength(10);
    const [second] = world.leaseHolders();
    world.propose(second!, 'after');
    world.settle(200);
    expect(world.acknowledged).toContain('after');
  });

  test('never counts a vote of a disk that was lost', () => {
    const world = new ReplicationCluster(IDS);
    const leader = leaderOf(world);
    const [lost, other] = IDS.filter((id) => id !== leader) as [ReplicaId, ReplicaId];
    // Only the leader and the lost replica have the command.
    world.cuts.add(`${leader}>${other}`);
    world.propose(leader, 'kept');
    for (let waited = 0; waited < 6; waited++) {
      world.advance(5);
      flow(world, 12);
    }
    expect(world.acknowledged).toEqual(['kept']);
    world.loseForGood(lost);
    world.crash(leader);
    world.addReplica('b/2', 1, null);
    world.cuts.clear();
    for (let waited = 0; waited < 200; waited++) {
      world.advance(5);
      flow(world, 12);
    }
    // The other one and the empty disk are no majority: nobody may lead without the command.
    expect(world.leaseHolders()).toEqual([]);
  });

  test('lets a leader take itself out: it leads until that is recorded, and the others go on', () => {
    const world = new ReplicationCluster(IDS);
    const leader = leaderOf(world);
    world.propose(leader, 'one');
    world.settle(100);
    world.addReplica('d/2', 1, null);
    const others = IDS.filter((id) => id !== leader);
    world.changeMembers(leader, {learners: ['d/2'], voters: IDS});
    world.settle(300);
    world.changeMembers(leader, {learners: [], voters: [...IDS, 'd/2']});
    world.settle(300);
    world.changeMembers(leader, {learners: [], voters: [...others, 'd/2']});
    world.settle(900);
    expect(world.replicas.get(leader)!.state!.role.kind).toBe('follower');
    const [next] = world.leaseHolders();
    expect([...others, 'd/2']).toContain(next);
    world.loseForGood(leader);
    world.propose(next!, 'two');
    world.settle(300);
    world.checkConverged();
    expect(world.acknowledged).toEqual(['one', 'two']);
  });

  test('refuses two changes of members at once', () => {
    const world = new ReplicationCluster(IDS);
    const leader = leaderOf(world);
    const term = world.replicas.get(leader)!.state!.log.lastIndex;
    world.changeMembers(leader, {learners: [], voters: [leader]});
    expect(world.replicas.get(leader)!.state!.log.lastIndex).toBe(term);
    world.changeMembers(leader, {learners: ['d/1'], voters: IDS});
    world.changeMembers(leader, {learners: ['d/1', 'e/1'], voters: IDS});
    expect(world.replicas.get(leader)!.state!.log.members.learners).toEqual(['d/1']);
  });
});
