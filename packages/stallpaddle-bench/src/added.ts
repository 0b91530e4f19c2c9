/**
 * `npm run added`: what an entry VM adds to a direct connection, with and without batch work, on nine
 * VM processes and eight stand-in engines.
 */
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay} from 'stallpaddle';
import {
  batchFile,
  DemoCallers,
  engineAddress,
  Fleet,
  type FleetLayout,
  REGISTRY_LAYOUT,
  submitBatch,
  vmAddress,
  waitForBatch,
} from 'stallpaddle-demo';
import {runOpenLoop} from 'stallpaddle-load';

const RATE = Number(process.env.RATE ?? 200);
const SECONDS = Number(process.env.SECS ?? 10);
const ITEMS = 20_000;
const TOKENS = 16;
const SEED = 1;

const LAYOUT: FleetLayout = {
  ...REGISTRY_LAYOUT,
  engineSlots: 16,
  folder: 'data',
  network: '127.2.2',
  standIn: {tokenMs: 4},
};

function rss(pid: number): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Math.round(Number(match?.[1] ?? 0) / 1024);
}

const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-added-'));
const fleet = new Fleet(LAYOUT, folder);
try {
  await fleet.start();
  const vms = Array.from({length: LAYOUT.vms}, (_, index) => vmAddress(LAYOUT, index));
  const engines = Array.from({length: LAYOUT.engines}, (_, index) => engineAddress(LAYOUT, index));
  const base = {
    key: LAYOUT.customers[0]!.key,
    ratePerSecond: RATE,
    seed: SEED,
    stream: true,
    tokens: TOKENS,
  };
  const through = {...base, model: 'balcao-llm', targets: vms};
  const direct = {...base, model: 'balcao@1', targets: engines};
  // One pass first, so that code is compiled and connections stand.
  await runOpenLoop({...through, seconds: 3});
  await runOpenLoop({...direct, seconds: 3});
  const tell = (what: string, result: object): void => {
    process.stdout.write(`${JSON.stringify({what, ...result})}\n`);
  };
  tell('direct', await runOpenLoop({...direct, seconds: SECONDS}));
  tell('through VMs', await runOpenLoop({...through, seconds: SECONDS}));
  const accountants = new DemoCallers(vms, LAYOUT.customers[1]!.key, 'balcao-llm');
  const job = await submitBatch(accountants, batchFile('load', ITEMS, 0, 'balcao-llm'), 'k');
  const countOf = async (): Promise<number> => {
    const status = await waitForBatch(accountants, job, 0);
    return status.request_counts.completed;
  };
  await delay(2000);
  const before = await countOf();
  const startedAt = performance.now();
  tell('through VMs beside a batch', await runOpenLoop({...through, seconds: SECONDS}));
  const seconds = (performance.now() - startedAt) / 1000;
  tell('batch beside online', {itemsPerSecond: Math.round(((await countOf()) - before) / seconds)});
  const memory = vms.map((_, index) => rss(fleet.pidOf(fleet.vmProcess(index).name)!));
  tell('memory of the VM processes in MB', {rss: memory});
} finally {
  await fleet.stop();
  rmSync(folder, {force: true, recursive: true});
}
process.exit(0);
