/**
 * Streams that are read on the beat: together, no later than a beat allows, and not at all between.
 */
import fc from 'fast-check';
import {delay} from 'stallpaddle';
import {expect, test} from 'vitest';

import {RelayBeat, untilBeatMs} from '../../RelayBeat';

/** Long against what a busy machine keeps a timer back. */
const PERIOD_MS = 100;

test('whoever asks at any time meets the same beats', () => {
  fc.assert(
    fc.property(
      fc.double({max: 1e9, min: 0, noNaN: true}),
      fc.integer({max: 200, min: 1}),
      (now, period) => {
        const until = untilBeatMs(now, period);
        const beat = (now + until) / period;
        return until > 0 && until <= period && Math.abs(beat - Math.round(beat)) < 1e-3;
      },
    ),
  );
});

test('readers read together once a beat and rest between', async () => {
  const beat = new RelayBeat(PERIOD_MS);
  const calls: string[] = [];
  const reader = (name: string) => ({
    read: () => calls.push(`${name} reads`),
    rest: () => calls.push(`${name} rests`),
  });
  const one = reader('one');
  const two = reader('two');
  // Begins just behind a beat, so that both are added before the next one.
  await delay(untilBeatMs(performance.now(), PERIOD_MS) + 1);
  beat.add(one);
  beat.add(two);
  expect(calls).toEqual(['one rests', 'two rests']);
  calls.length = 0;
  await delay(PERIOD_MS * 1.3);
  expect(calls.slice(0, 4)).toEqual(['one reads', 'two reads', 'one rests', 'two rests']);
  beat.remove(one);
  beat.remove(two);
  calls.length = 0;
  await delay(PERIOD_MS * 2);
  expect(calls).toEqual([]);
});
