/**
 * `npm run demo`: the whole system as processes, a seeded mix of both users' work, two failures.
 */
import Table from 'cli-table3';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay, exponentialMs, seededRandom} from 'stallpaddle';

import type {BatchCounts} from './DemoBatches';
import type {FleetLayout} from './FleetLayout';

import {countItems, submitBatch, waitForBatch} from './DemoBatches';
import {DemoCallers} from './DemoCallers';
import {DemoOperator} from './DemoOperator';
import {batchFile, onlinePrompt} from './DemoWorkload';
import {Fleet} from './Fleet';
import {engineName, REGISTRY_LAYOUT, vmAddress} from './FleetLayout';

const SEED = 7;
const ONLINE_REQUESTS = 500;
const ONLINE_PER_SECOND = 40;
const BATCH_ITEMS = 300;
const EVERY_BAD = 97;
const BATCH_MOST_MS = 40_000;
const MODEL = 'balcao-llm';
const KILL_VM_AT_MS = 3_000;
const KILL_ENGINE_AT_MS = 5_000;

const LAYOUT: FleetLayout = {
  ...REGISTRY_LAYOUT,
  engines: 2,
  engineSlots: 16,
  folder: 'data',
  network: '127.0.3',
  prefix: 'demo',
  services: [],
  standIn: {loaded: [], tokenMs: 4},
  vms: 6,
};

async function sendOnline(callers: DemoCallers): Promise<void> {
  const random = seededRandom(SEED);
  const open: Promise<void>[] = [];
  for (let number = 0; number < ONLINE_REQUESTS; number++) {
    open.push(callers.ask(onlinePrompt(random, number), random() < 0.5));
    await delay(exponentialMs(random, ONLINE_PER_SECOND));
  }
  await Promise.all(open);
}

async function callPlainService(callers: DemoCallers): Promise<boolean> {
  const headers = {'idempotency-key': 'demo-call'};
  const first = await callers.call('POST', '/services/deadlines/check', 'one', headers);
  const resent = await callers.call('POST', '/services/deadlines/check', 'one', headers);
  return first?.status === 200 && first.text === resent?.text;
}

async function fail(fleet: Fleet): Promise<void> {
  await delay(KILL_VM_AT_MS);
  await fleet.kill(fleet.vmProcess(LAYOUT.vms - 1).name);
  await delay(KILL_ENGINE_AT_MS - KILL_VM_AT_MS);
  await fleet.kill(engineName(LAYOUT, 1));
}

function sum(counts: readonly BatchCounts[], field: keyof BatchCounts): number {
  return counts.reduce((total, one) => total + one[field], 0);
}

async function run(fleet: Fleet): Promise<boolean> {
  const startedAt = Date.now();
  await fleet.start();
  process.stdout.write(
    `${fleet.running.length} processes take work after ${Date.now() - startedAt} ms\n`,
  );
  const vms = Array.from({length: LAYOUT.vms}, (_, index) => vmAddress(LAYOUT, index));
  const operator = new DemoOperator(vms[0]!, LAYOUT.operatorKey);
  await operator.change({
    engines: [engineName(LAYOUT, 0), engineName(LAYOUT, 1)],
    kind: 'createService',
    model: LAYOUT.model,
    service: MODEL,
    version: '1',
  });
  await operator.waitForWeights(vms, `${LAYOUT.model}@1`, LAYOUT.engines);
  const counter = new DemoCallers(vms, LAYOUT.customers[0]!.key, MODEL);
  const accountants = new DemoCallers(vms, LAYOUT.customers[1]!.key, MODEL);

  const plainOnce = await callPlainService(counter);
  const batches = ['filings', 'routes'].map((name) =>
    batchFile(name, BATCH_ITEMS, EVERY_BAD, MODEL),
  );
  const batchAt = Date.now();
  const jobs = await Promise.all(
    batches.map((batch, index) => submitBatch(accountants, batch, `demo-${index}`)),
  );
  const online = sendOnline(counter);
  const failures = fail(fleet);
  await Promise.all(jobs.map((job) => waitForBatch(accountants, job, BATCH_MOST_MS)));
  const batchSeconds = (Date.now() - batchAt) / 1000;
  await Promise.all([online, failures]);
  await operator.change({kind: 'drainVm', vm: fleet.vmProcess(LAYOUT.vms - 2).name});

  const counts = await Promise.all(
    jobs.map((job, index) => countItems(accountants, job, batches[index]!)),
  );
  const {answered, crossed, lost, sent} = counter.counts;
  const items = BATCH_ITEMS * jobs.length;
  const table = new Table({
    head: ['', 'accepted', 'answered once', 'failed for good', 'lost', 'doubled'],
    style: {border: [], head: []},
  });
  table.push(['online', sent, answered, 0, lost, crossed]);
  table.push([
    'batch items',
    items,
    sum(counts, 'done'),
    sum(counts, 'failed'),
    sum(counts, 'lost'),
    sum(counts, 'doubled'),
  ]);
  const percentile = (at: number): string =>
    (counter.firstByte.getValueAtPercentile(at) / 1000).toFixed(1);
  process.stdout.write(`${table.toString()}\n`);
  process.stdout.write(
    `online first token: p50 ${percentile(50)} ms, p99 ${percentile(99)} ms\n` +
      `batch: ${(items / batchSeconds).toFixed(1)} items a second\n` +
      `plain service: a resent call that must not repeat ${plainOnce ? 'ran once' : 'FAILED'}\n`,
  );
  const wrong = lost + crossed + sum(counts, 'lost') + sum(counts, 'doubled');
  return wrong === 0 && plainOnce && answered === sent;
}

const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-demo-'));
const fleet = new Fleet(LAYOUT, folder);
let ok = false;
try {
  ok = await run(fleet);
} finally {
  await fleet.stop();
  if (ok) {
    rmSync(folder, {force: true, recursive: true});
  } else {
    process.stdout.write(`logs are in ${folder}\n`);
  }
}
process.exit(ok ? 0 : 1);
