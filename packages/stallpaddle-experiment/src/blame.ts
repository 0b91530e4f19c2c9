/**
 * `npm run --silent blame`: prints how often a harmless request is quarantined, by fleet size and rate of external
 * engine crashes.
 */
import Table from 'cli-table3';

import {modelBlame} from './ExperimentBlame';

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
