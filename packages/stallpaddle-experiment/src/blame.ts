/**
 * `npm run --silent blame`: prints how often a request that ends no engine is held, by the fleet's size and how often engines
 * end by causes from outside.
 */
import Table from 'cli-table3';

import {modelBlame} from './ExperimentBlame';

/** Milliseconds in a minute. */
const MINUTE_MS = 60_000;
const SIZES = [6, 68, 740] as const;
/** Mean time between two ends of one engine, in minutes: a day, an hour, and a minute as in a bad hour. */
const LIVES_MIN = [1_440, 60, 1] as const;
const OUTBREAK_MS = 20_000;
/** Requests that are modelled for each row, about. */
const REQUESTS = 400_000;
/** Requests a second for each engine of the model. */
const PER_ENGINE = 8;

const table = new Table({
  head: ['engines', 'one ends each (min)', 'requests', 'ends', 'guilty held', 'innocent held'],
  style: {border: [], head: []},
});
for (const engines of SIZES) {
  for (const minutes of LIVES_MIN) {
    const spanMs = Math.ceil((REQUESTS / (engines * PER_ENGINE)) * 1_000);
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
