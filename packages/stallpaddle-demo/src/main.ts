/**
 * `npm run demo`: runs a fleet with a seeded workload while a VM and an engine are killed, and checks that no request is
 * lost or duplicated.
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
const UNCOMPLETABLE_INTERVAL = 97;
const BATCH_TIMEOUT_MS = 40_000;
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
  const pending: Promise<void>[] = [];
  for (let number = 0; number < ONLINE_REQUESTS; number++) {
    pending.push(callers.ask(onlinePrompt(random, number), random() < 0.5));
    await delay(exponentialMs(random, ONLINE_PER_SECOND));
  }
  await Promise.all(pending);
}

async function callPlainService(callers: DemoCallers): Promise<boolean> {
  const headers = {'idempotency-key': 'demo-call'};
  const first = await callers.call('POST', '/services/deadlines/check', 'one', headers);
  const resent = await callers.call('POST', '/services/deadlines/check', 'one', headers);
  return first?.status === 200 && first.text === resent?.text;
}

async function injectFailures(fleet: Fleet): Promise<void> {
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
    `${fleet.running.length} processes ready after ${Date.now() - startedAt} ms\n`,
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

  const ranOnce = await callPlainService(counter);
  const batches = ['filings', 'routes'].map((name) =>
    batchFile(name, BATCH_ITEMS, UNCOMPLETABLE_INTERVAL, MODEL),
  );
  const submittedAt = Date.now();
  const jobs = await Promise.all(
    batches.map((batch, index) => submitBatch(accountants, batch, `demo-${index}`)),
  );
  const online = sendOnline(counter);
  const failures = injectFailures(fleet);
  await Promise.all(jobs.map((job) => waitForBatch(accountants, job, BATCH_TIMEOUT_MS)));
  const batchSeconds = (Date.now() - submittedAt) / 1000;
  await Promise.all([online, failures]);
  await operator.change({kind: 'drainVm', vm: fleet.vmProcess(LAYOUT.vms - 2).name});

  const counts = await Promise.all(
    jobs.map((job, index) => countItems(accountants, job, batches[index]!)),
  );
  const {answered, crossed, lost, sent} = counter.counts;
  const items = BATCH_ITEMS * jobs.length;
  const table = new Table({
    head: ['', 'accepted', 'answered once', 'failed permanently', 'lost', 'wrong or duplicate'],
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
      `batch: ${(items / batchSeconds).toFixed(1)} items/s\n` +
      `plain service: a resent non-repeatable call ${ranOnce ? 'ran once' : 'FAILED'}\n`,
  );
  const violations = lost + crossed + sum(counts, 'lost') + sum(counts, 'doubled');
  return violations === 0 && ranOnce && answered === sent;
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
    process.stdout.write(`logs: ${folder}\n`);
  }
}
process.exit(ok ? 0 : 1);
