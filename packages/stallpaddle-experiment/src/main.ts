/**
 * Prints a comparison of the routing policies:
 * `npm run --silent experiment -- --seed N --format json|table|html [--fault NAME|all]`.
 */
import Table from 'cli-table3';
import {parseArgs} from 'node:util';

import type {RunResult} from './ExperimentRun';

import {type Fault, FAULTS} from './ExperimentFaults';
import {htmlReport} from './ExperimentHtml';
import {POLICIES, runExperiment} from './ExperimentRun';
import {LAVANDERIA, REGISTRY} from './ExperimentWorkload';

/** A run with the p99 TTFT of the `noBatch` run of the same workload and fault. */
export interface ReportedRun extends RunResult {
  readonly ttftP99MsWithoutBatch: number;
}

const EXIT_USAGE = 2;

function runAll(seed: number, faults: readonly Fault[]): readonly ReportedRun[] {
  return [REGISTRY, LAVANDERIA].flatMap((workload) =>
    faults.flatMap((fault) => {
      const runs = POLICIES.map((policy) => runExperiment(workload, policy, fault, seed));
      const {ttftP99Ms} = runs.find(({policy}) => policy === 'noBatch')!;
      return runs.map((run) => ({...run, ttftP99MsWithoutBatch: ttftP99Ms}));
    }),
  );
}

function formatTable(runs: readonly ReportedRun[]): string {
  const table = new Table({
    head: [
      'workload',
      'fault',
      'policy',
      'batch/s',
      '% of limit',
      'ttft p50',
      'p99',
      'p99 vs none',
      'token p95',
      'late',
      'lost',
      'cancelled',
      'cache',
    ],
    style: {border: [], head: []},
  });
  for (const run of runs) {
    const limitPercent = (100 * run.batchItemsPerSecond) / run.batchLimitItemsPerSecond;
    const ttftIncreasePercent = 100 * (run.ttftP99Ms / run.ttftP99MsWithoutBatch - 1);
    table.push([
      run.workload,
      run.fault,
      run.policy,
      run.batchItemsPerSecond,
      limitPercent.toFixed(1),
      run.ttftP50Ms,
      run.ttftP99Ms,
      `${ttftIncreasePercent.toFixed(1)}%`,
      run.interTokenP95Ms,
      run.lateItems,
      run.lost,
      run.cancelledItems,
      run.cacheHitFraction,
    ]);
  }
  return table.toString();
}

const {values} = parseArgs({
  options: {
    fault: {default: 'none', type: 'string'},
    format: {default: 'table', type: 'string'},
    seed: {default: '1', type: 'string'},
  },
});
const seed = Number(values.seed);
const faults = values.fault === 'all' ? FAULTS : FAULTS.filter((fault) => fault === values.fault);
const isKnownFormat = ['html', 'json', 'table'].includes(values.format);
if (!Number.isInteger(seed) || faults.length === 0 || !isKnownFormat) {
  process.stderr.write(
    `experiment: --seed whole number, --format json|table|html, --fault all|${FAULTS.join('|')}\n`,
  );
  process.exit(EXIT_USAGE);
}
const runs = runAll(seed, faults);
switch (values.format) {
  case 'html':
    process.stdout.write(htmlReport(seed, runs));
    break;
  case 'json':
    process.stdout.write(`${JSON.stringify({runs, seed})}\n`);
    break;
  default:
    process.stdout.write(`${formatTable(runs)}\n`);
}
