/**
 * `npm run --silent blame`: prints how often a harmless request is quarantined, and what parts of prompts that crash engines
 * do, by fleet size and rate of external engine crashes.
 */
import Table from 'cli-table3';

import {modelBlame} from './ExperimentBlame';
import {modelPartBlame} from './ExperimentPartBlame';

const MINUTE_MS = 60_000;
const FLEET_SIZES = [6, 68, 740] as const;
/** Mean time between external crashes of one engine, in minutes. */
const CRASH_INTERVALS_MIN = [1_440, 60, 1] as const;
const OUTBREAK_MS = 20_000;
/** Approximate number of simulated requests per row. */
const REQUESTS_PER_ROW = 400_000;
/** Requests per second and engine in the simulation. */
const REQUESTS_PER_ENGINE_SECOND = 8;

const table = new Table({
  head: ['engines', 'one ends each (min)', 'requests', 'ends', 'guilty held', 'innocent held'],
  style: {border: [], head: []},
});
for (const engines of FLEET_SIZES) {
  for (const minutes of CRASH_INTERVALS_MIN) {
    const spanMs = Math.ceil((REQUESTS_PER_ROW / (engines * REQUESTS_PER_ENGINE_SECOND)) * 1_000);
    const meanLifeMs = minutes * MINUTE_MS;
    const {ends, guilty, innocent, requests} = modelBlame({
      engines,
      meanLifeMs,
      outbreakMs: OUTBREAK_MS,
      seed: 20_261,
      spanMs,
    });
    table.push([engines, minutes, requests, ends, guilty, innocent]);
  }
}
process.stdout.write(`${table.toString()}\n`);

/** Simulated outbreaks per row. */
const OUTBREAKS = 10;
/** Harmless requests in a second: a low and a high load of a small site. */
const SOUND_LOADS = [5, 40] as const;
/** Requests with a fatal part in a second: calm, and a burst. */
const FATAL_LOADS = [0.7, 10] as const;

const parts = new Table({
  head: [
    'engines',
    'one ends each (min)',
    'sound/s',
    'fatal/s',
    'causes',
    'crashes a cause',
    'most late',
    'sound refused',
    'of',
    'worst share late',
  ],
  style: {border: [], head: []},
});
for (const engines of FLEET_SIZES) {
  for (const minutes of [1_440, 1] as const) {
    for (const soundPerSecond of SOUND_LOADS) {
      for (const fatalPerSecond of FATAL_LOADS) {
        for (const causes of [1, 2] as const) {
          const result = await modelPartBlame({
            causes,
            engines,
            fatalPerSecond,
            meanLifeMs: minutes * MINUTE_MS,
            outbreaks: OUTBREAKS,
            seed: 20_261,
            soundPerSecond,
          });
          const {crashes, mostLate, refused, sound, worstRefusedShare} = result;
          parts.push([
            engines,
            minutes,
            soundPerSecond,
            fatalPerSecond,
            causes,
            crashes.toFixed(1),
            mostLate,
            refused,
            sound,
            worstRefusedShare.toFixed(2),
          ]);
        }
      }
    }
  }
}
process.stdout.write(`${parts.toString()}\n`);
