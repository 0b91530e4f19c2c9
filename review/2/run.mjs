/**
 * Clients submit batch jobs. While their items run and wait, the operator adds a route for streams whose path prefix lies under
 * that of the batch route, which stays. Checks that no item is listed as `dead_lettered`, since there is no reason for it.
 *
 * Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. With TROUBLE=0 the new route has a prefix of its own.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

import {Engine} from '../lib/engine.mjs';
import {call, callUntil, delay, Fleet, PORTS} from '../lib/fleet.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';

const HOST = 'nony24.example';
const BATCH_PREFIX = '/pule252/';
/** Prefix of the new route. */
const NEW_PREFIX = hasTrouble ? `${BATCH_PREFIX}3/` : '/pule777/3/';
const JOBS = 8;
const ITEMS = 10;
const JOB_GAP_MS = 150;
/** Events of an item, and the pause between two of them: an item runs for 2.4 s. */
const EVENTS = 120;
const GAP_MS = 20;
const RETENTION_S = 60;
/** `finish-s`: what batch jobs get once traffic has ended. */
const FINISH_MS = 18_000;

const record = [];
const startedAt = Date.now();
const note = (text) => record.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);

function streamingRoute(name, prefix) {
  return {
    'gap-target-ms': 200,
    host: HOST,
    kind: 'streaming',
    'max-attempts': 2,
    name,
    'path-prefix': prefix,
    priority: 0,
    resumable: true,
    service: 'huvo11a',
    'slo-ms': 300,
    sticky: true,
    'timeout-ms': 5000,
  };
}

const BATCH_ROUTE = {
  'gap-target-ms': 200,
  host: HOST,
  kind: 'batch',
  'max-attempts': 3,
  'max-queued-tokens': 1_400_000,
  name: 'r-pule',
  'path-prefix': BATCH_PREFIX,
  priority: 2,
  'retention-s': RETENTION_S,
  'run-target-ms': 18_000,
  service: 'huvo11a',
  'slo-ms': 400,
  sticky: true,
  'timeout-ms': 15_000,
};

function configuration(version, addedRoutes) {
  return JSON.stringify({
    limits: {
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
      'max-body-bytes': 4_194_304,
      'max-header-bytes': 16_384,
    },
    routes: [streamingRoute('r-lohu', '/lohu930/'), BATCH_ROUTE, ...addedRoutes],
    services: [
      {
        engine: {slots: 8},
        'health-path': '/healthz',
        'max-conns': 310,
        name: 'huvo11a',
        protocol: 'h1',
        tls: false,
      },
    ],
    version,
  });
}

const fleet = new Fleet();
const controls = fleet.fronts.map(({ip}) => `${ip}:${PORTS.control}`);
const fronts = fleet.fronts.map(({ip}) => `${ip}:${PORTS.front}`);
/** Runs at engines; none of them is answered with an error. */
const runs = [];
const engines = Array.from(
  {length: 8},
  (_, at) =>
    new Engine({
      controls,
      events: EVENTS,
      gapMs: GAP_MS,
      host: `${fleet.network}.${201 + at}`,
      onEnd: ({id, isWhole}) => {
        const run = runs.findLast((one) => one.id === id && one.to === undefined);
        Object.assign(run, {isWhole, to: Date.now()});
      },
      onRun: ({id}) => runs.push({from: Date.now(), id}),
      service: 'huvo11a',
      zone: ['recife-a', 'fortaleza-b', 'salvador-c'][at % 3],
    }),
);

const anyFront = () => fronts[Math.floor(Math.random() * fronts.length)];

function putConfiguration(version, addedRoutes) {
  return callUntil(controls, 200, {
    body: configuration(version, addedRoutes),
    headers: {'content-type': 'application/json'},
    method: 'PUT',
    path: '/stallpaddle/config',
  });
}

function makeJob(at) {
  const id = `7c41e09b52d6a3f${at}`;
  const requests = Array.from({length: ITEMS}, (_, item) => ({
    body: Buffer.from(`item ${at} ${item}`).toString('base64'),
    headers: {
      Model: 'm',
      'Prompt-Prefix': `9c2e41:100,5d07${at}${item}:250`,
      'Token-Count': '350,120',
    },
    id: `e5b2907c14da6f${at}${item}`,
    path: `/pule252/3/91c${at}${item}`,
    tokens: 470,
  }));
  // Every other job is submitted under the prefix of the route that is added later.
  return {id, path: at % 2 === 0 ? `/pule252/3/7c41e${at}` : `/pule252/7c41e${at}`, requests};
}

async function submit(job) {
  for (let tries = 0; tries < 20; tries++) {
    const answer = await call(anyFront(), {
      body: JSON.stringify({requests: job.requests}),
      headers: {'Attempt-Id': job.id, 'content-type': 'application/json', Host: HOST},
      method: 'POST',
      path: job.path,
      timeoutMs: 4000,
    });
    note(`job ${job.id} sent to ${job.path}, answer ${answer.status ?? answer.error}`);
    if (answer.status === 202) {
      job.acceptedAt = Date.now();
      return;
    }
    await delay(500);
  }
  throw new Error(`job ${job.id} was never accepted`);
}

async function read(job) {
  for (let tries = 0; tries < 10; tries++) {
    const answer = await call(anyFront(), {
      headers: {Host: HOST},
      path: `/stallpaddle/lots/${job.id}?after-rev=0`,
      timeoutMs: 2500,
    });
    if (answer.status === 200 && answer.whole) {
      return JSON.parse(answer.body).results;
    }
    await delay(200);
  }
  throw new Error(`job ${job.id} can't be read`);
}

/** Runs of an item, as far as they went. */
function describeRuns(id) {
  const own = runs.filter((run) => run.id === id);
  return own.map(({from, isWhole, to}) => `${to - from} ms${isWhole ? ' to its end' : ''}`);
}

async function main() {
  fleet.startAll();
  await Promise.all(engines.map((engine) => engine.start()));
  await putConfiguration(7, []);
  for (const {ip} of fleet.fronts) {
    await callUntil([`${ip}:${PORTS.ready}`], 200, {path: '/stallpaddle/ready'});
  }
  await delay(Math.max(2000, 12_000 - (Date.now() - startedAt)));
  note('traffic starts');
  const jobs = Array.from({length: JOBS}, (_, at) => makeJob(at));
  for (const job of jobs) {
    await submit(job);
    await delay(JOB_GAP_MS);
  }
  await putConfiguration(8, [streamingRoute('r-x73d3zj', NEW_PREFIX)]);
  const changedAt = Date.now();
  note(
    `a configuration with a new streaming route for ${NEW_PREFIX} is acknowledged; r-pule stays`,
  );
  await delay(FINISH_MS);
  let givenUp = 0;
  for (const job of jobs) {
    const results = await read(job);
    const dead = results.filter(({state}) => state === 'dead_lettered');
    const completed = results.length - dead.length;
    note(
      `job ${job.id} at ${job.path}: ${completed} completed, ${dead.length} dead_lettered, of ${ITEMS}; accepted ${changedAt - job.acceptedAt} ms before the change`,
    );
    for (const {id} of dead) {
      note(`  item ${id}: runs at engines: ${describeRuns(id).join(', ') || 'none'}`);
    }
    givenUp += dead.length;
  }
  const ends = fleet.ends.map(({code, name, signal}) => `${name} (${signal ?? `exit ${code}`})`);
  note(`processes that ended by themselves: ${ends.join(', ') || 'none'}`);
  note(
    `${givenUp} items are dead_lettered without a 422 or 500, before retention-s (${RETENTION_S}), of jobs and a route that didn't end`,
  );
  note(givenUp > 0 ? 'MIXED is broken' : 'MIXED held');
  return givenUp > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (err) {
  note(`the case could not run: ${err.stack}`);
} finally {
  engines.forEach((engine) => engine.stop());
  fleet.end();
  writeFileSync(path.join(FOLDER, 'record.txt'), `${record.join('\n')}\n`);
}
process.exit(code);
