/**
 * `npm run added`: compares the latency of requests through VMs, with and without batch work, to that of direct
 * requests to stand-in engines.
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
const BATCH_ITEMS = 20_000;
const MAX_TOKENS = 16;
const SEED = 1;

const LAYOUT: FleetLayout = {
  ...REGISTRY_LAYOUT,
  engineSlots: 16,
  folder: 'data',
  network: '127.2.2',
  standIn: {tokenMs: 4},
};

function rssMegabytes(pid: number): number {
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
    tokens: MAX_TOKENS,
  };
  const viaVms = {...base, model: 'balcao-llm', targets: vms};
  const direct = {...base, model: 'balcao@1', targets: engines};
  // Warms up compiled code and connections before anything is measured.
  await runOpenLoop({...viaVms, seconds: 3});
  await runOpenLoop({...direct, seconds: 3});
  const printResult = (what: string, result: object): void => {
    process.stdout.write(`${JSON.stringify({what, ...result})}\n`);
  };
  printResult('direct', await runOpenLoop({...direct, seconds: SECONDS}));
  printResult('through VMs', await runOpenLoop({...viaVms, seconds: SECONDS}));
  const batchCustomer = new DemoCallers(vms, LAYOUT.customers[1]!.key, 'balcao-llm');
  const job = await submitBatch(
    batchCustomer,
    batchFile('load', BATCH_ITEMS, 0, 'balcao-llm'),
    'k',
  );
  const countCompleted = async (): Promise<number> => {
    const status = await waitForBatch(batchCustomer, job, 0);
    return status.request_counts.completed;
  };
  await delay(2000);
  const completedBefore = await countCompleted();
  const startedAt = performance.now();
  printResult('through VMs beside a batch', await runOpenLoop({...viaVms, seconds: SECONDS}));
  const seconds = (performance.now() - startedAt) / 1000;
  printResult('batch beside online', {
    itemsPerSecond: Math.round(((await countCompleted()) - completedBefore) / seconds),
  });
  const memoryMegabytes = vms.map((_, index) =>
    rssMegabytes(fleet.pidOf(fleet.vmProcess(index).name)!),
  );
  printResult('memory of the VM processes in MB', {rss: memoryMegabytes});
} finally {
  await fleet.stop();
  rmSync(folder, {force: true, recursive: true});
}
process.exit(0);
