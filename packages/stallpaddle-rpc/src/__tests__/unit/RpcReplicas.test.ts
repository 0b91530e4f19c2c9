/**
 * Real replicas with bulk data, real transfers and disks that lose power, against the list of what was acknowledged.
 *
 * What was seen: a batch job that had been accepted couldn't be read after losses of disks and of power. The test of the
 * group's histories had neither bulk data nor files, so no history could show it.
 */
import fc from 'fast-check';
import {unreachable} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {afterEach, describe, expect, test, vi} from 'vitest';

import {RpcReplicaCluster} from './RpcReplicaCluster';

/** Some ten seconds of them. */
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

async function take(world: RpcReplicaCluster, taken: Step): Promise<void> {
  switch (taken.kind) {
    case 'cut':
      world.cuts.add(`${world.pick(taken.from)}>${world.pick(taken.to)}`);
      return;
    case 'fillDisk':
      return world.fillDisk(world.pick(taken.machine), taken.ms);
    case 'handOver':
      world.handOver();
      return;
    case 'heal':
      world.cuts.clear();
      return;
    case 'kill':
      return world.kill(world.pick(taken.machine), taken.ms);
    case 'lose':
      world.lossPart = taken.part;
      return;
    case 'losePower':
      await world.losePower(taken.lostDisks);
      return world.run(taken.ms);
    case 'propose':
      world.propose(taken.count, taken.bytes);
      return world.run(taken.ms);
    case 'run':
      return world.run(taken.ms);
    case 'slowDown':
      world.slowDown(world.pick(taken.machine), taken.ms);
      return;
    default:
      unreachable(taken);
  }
}

// A history takes a fifth of a second: making a failing one smaller would outlast the test.
fc.configureGlobal({endOnFailure: true});

function ownTime(): void {
  vi.useFakeTimers({toFake: ['clearInterval', 'clearTimeout', 'setInterval', 'setTimeout']});
}

describe('replicas with their disks and transfers', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  test('a leader that cannot read bulk data makes way for one that can', async () => {
    // It went on leading, and every read of the job failed for ever, though all others held it whole.
    ownTime();
    const world = await RpcReplicaCluster.found(1);
    world.propose(3, 100);
    await world.run(200);
    const damaged = world.leaderId!;
    world.damage(damaged);
    expect(await world.leaderReads()).toBe(false);
    await world.run(600);
    expect(world.leaderId).toBeDefined();
    expect(world.leaderId).not.toBe(damaged);
    expect(await world.leaderReads()).toBe(true);
    await world.close();
  });

  test('replicas none of which can read bulk data do not hand leadership round', async () => {
    ownTime();
    const world = await RpcReplicaCluster.found(1);
    world.propose(3, 100);
    await world.run(400);
    world.ids.forEach((id) => world.damage(id));
    const leaders: (string | undefined)[] = [];
    for (let time = 0; time < 3_000; time += 100) {
      if (world.leaderId !== undefined) {
        await world.leaderReads();
        leaders.push(world.leaderId);
      }
      await world.run(100);
    }
    const changes = leaders.filter((leader, at) => at > 0 && leader !== leaders[at - 1]);
    expect(changes.length).toBeLessThanOrEqual(5);
    await world.close();
  });

  test(
    'whatever was acknowledged can be read from whoever leads, and all hold the same bytes',
    async () => {
      const property = fc.asyncProperty(
        fc.integer(),
        fc.array(step, {maxLength: 60, minLength: 10, size: 'max'}),
        fc.integer({max: 2, min: 0}),
        async (seed, steps, lostDisks) => {
          ownTime();
          const world = await RpcReplicaCluster.found(seed);
          try {
            for (const taken of steps) {
              await take(world, taken);
            }
            await world.losePower(lostDisks);
            await world.check();
          } finally {
            await world.close();
            vi.useRealTimers();
          }
        },
      );
      await assertHistories('replicas, disks and transfers', property, HISTORIES);
    },
    fuzzTimeoutMs(),
  );
});
