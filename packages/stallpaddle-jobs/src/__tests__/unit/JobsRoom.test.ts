/** Guards against a report that is costly, counts unusable engines, or forgets how fast requests start. */
import {systemClock} from 'stallpaddle';
import {expect, test} from 'vitest';

import {JobsRoom} from '../../JobsRoom';

test('sums usable engines at most every 20 ms, and averages starts over the last second', () => {
  const engine = {
    id: 'e',
    items: 2,
    online: 4,
    service: 's',
    slots: 8,
    softwareVersion: 'v1',
    speed: 1,
    usable: true,
  };
  const engines = [
    engine,
    {...engine, items: 0, online: 10},
    {...engine, usable: false},
    {...engine, speed: 0.2},
  ];
  let now = 0;
  let reads = 0;
  const room = new JobsRoom({
    burstEndsInMs: () => 700,
    clock: {...systemClock, monotonicMs: () => now},
    engines: () => {
      reads++;
      return engines;
    },
    // 100 a second, and 300 a second from 2 s on.
    started: () => (now <= 2_000 ? now / 10 : 200 + (now - 2_000) * 0.3),
  });
  const rates = new Map<number, number>();
  for (; now <= 4_000; now += 5) {
    rates.set(now, room.report().startsPerSecond);
  }
  expect(room.report()).toMatchObject({burstEndsInMs: 700, freeSlots: 2, itemSlots: 2, waiting: 0});
  expect([rates.get(2_000), rates.get(2_500), rates.get(4_000)]).toEqual([100, 200, 300]);
  expect(reads).toBeLessThanOrEqual(202);
});
