/**
 * Guards against acknowledged data that can't be read after disk and power losses, with real replicas, bulk data and
 * snapshot transfers.
 */
import fc from 'fast-check';
import {unreachable} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {afterEach, describe, expect, test, vi} from 'vitest';

import {RpcReplicaCluster} from './RpcReplicaCluster';

const HISTORIES = 40;

const machine = fc.nat({max: 9});

const step = fc.oneof(
  {
    arbitrary: fc.record({kind: fc.constant('run' as const), ms: fc.integer({max: 150, min: 1})}),
    weight: 5,
  },
  {
    arbitrary: fc.record({
      bytes: fc.integer({max: 400, min: 1}),
      count: fc.integer({max: 6, min: 1}),
      kind: fc.constant('propose' as const),
      ms: fc.integer({max: 30, min: 0}),
    }),
    weight: 12,
  },
  {arbitrary: fc.record({kind: fc.constant('handOver' as const)}), weight: 2},
  {
    arbitrary: fc.record({
      kind: fc.constant('kill' as const),
      machine,
      ms: fc.integer({max: 200, min: 0}),
    }),
    weight: 2,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('losePower' as const),
      lostDisks: fc.integer({max: 2, min: 0}),
      ms: fc.integer({max: 800, min: 0}),
    }),
    weight: 3,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('slowDown' as const),
      machine,
      ms: fc.constantFrom(0, 4, 30, 120),
    }),
    weight: 3,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant('fillDisk' as const),
      machine,
      ms: fc.integer({max: 60, min: 1}),
    }),
    weight: 1,
  },
  {
    arbitrary: fc.record({from: machine, kind: fc.constant('cut' as const), to: machine}),
    weight: 2,
  },
  {arbitrary: fc.record({kind: fc.constant('heal' as const)}), weight: 1},
  {
    arbitrary: fc.record({kind: fc.constant('lose' as const), part: fc.constantFrom(0, 0.02, 0.2)}),
    weight: 1,
  },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

async function applyStep(cluster: RpcReplicaCluster, next: Step): Promise<void> {
  switch (next.kind) {
    case 'cut':
      cluster.partitions.add(`${cluster.pick(next.from)}>${cluster.pick(next.to)}`);
      return;
    case 'fillDisk':
      return cluster.fillDisk(cluster.pick(next.machine), next.ms);
    case 'handOver':
      cluster.handOver();
      return;
    case 'heal':
      cluster.partitions.clear();
      return;
    case 'kill':
      return cluster.kill(cluster.pick(next.machine), next.ms);
    case 'lose':
      cluster.lossFraction = next.part;
      return;
    case 'losePower':
      await cluster.losePower(next.lostDisks);
      return cluster.run(next.ms);
    case 'propose':
      cluster.propose(next.count, next.bytes);
      return cluster.run(next.ms);
    case 'run':
      return cluster.run(next.ms);
    case 'slowDown':
      cluster.slowDown(cluster.pick(next.machine), next.ms);
      return;
    default:
      unreachable(next);
  }
}

// Shrinking a failing history would exceed the time limit of the test.
fc.configureGlobal({endOnFailure: true});

function fakeTimers(): void {
  vi.useFakeTimers({toFake: ['clearInterval', 'clearTimeout', 'setInterval', 'setTimeout']});
}

describe('replicas with disks and snapshot transfers', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  test('a leader that cannot read bulk data hands over leadership to a replica that can', async () => {
    fakeTimers();
    const cluster = await RpcReplicaCluster.start(1);
    cluster.propose(3, 100);
    await cluster.run(200);
    const corrupted = cluster.leaderId!;
    cluster.corrupt(corrupted);
    expect(await cluster.canLeaderRead()).toBe(false);
    await cluster.run(600);
    expect(cluster.leaderId).toBeDefined();
    expect(cluster.leaderId).not.toBe(corrupted);
    expect(await cluster.canLeaderRead()).toBe(true);
    await cluster.close();
  });

  test('leadership does not keep changing when no replica can read the bulk data', async () => {
    fakeTimers();
    const cluster = await RpcReplicaCluster.start(1);
    cluster.propose(3, 100);
    await cluster.run(400);
    cluster.ids.forEach((id) => cluster.corrupt(id));
    const leaders: (string | undefined)[] = [];
    for (let time = 0; time < 3_000; time += 100) {
      if (cluster.leaderId !== undefined) {
        await cluster.canLeaderRead();
        leaders.push(cluster.leaderId);
      }
      await cluster.run(100);
    }
    const changes = leaders.filter((leader, at) => at > 0 && leader !== leaders[at - 1]);
    expect(changes.length).toBeLessThanOrEqual(5);
    await cluster.close();
  });

  test(
    'after disk and power losses, all replicas hold the same state and can read all acknowledged data',
    async () => {
      const property = fc.asyncProperty(
        fc.integer(),
        fc.array(step, {maxLength: 60, minLength: 10, size: 'max'}),
        fc.integer({max: 2, min: 0}),
        async (seed, steps, lostDisks) => {
          fakeTimers();
          const cluster = await RpcReplicaCluster.start(seed);
          try {
            for (const next of steps) {
              await applyStep(cluster, next);
            }
            await cluster.losePower(lostDisks);
            await cluster.check();
          } finally {
            await cluster.close();
            vi.useRealTimers();
          }
        },
      );
      await assertHistories('replicas, disks and transfers', property, HISTORIES);
    },
    fuzzTimeoutMs(),
  );
});
