/**
 * `npm run slopes`: prints the measurements for docs/CAPACITY.md as lines of JSON.
 */
import {measureAdmission} from './BenchAdmission';
import {measureControl} from './BenchControl';
import {measureFleet} from './BenchFleet';
import {measureLedger} from './BenchLedger';

const WAITING_REQUESTS = [10, 100, 500];
const FLEET_SIZES = [3, 12, 24, 48];
const LEDGER_SIZES = [1_000, 10_000, 100_000, 270_000];
const CUSTOMER_SIZES = [1_000, 10_000, 49_000];
const ENGINE_SIZES = [100, 740];

function printResult(what: string, cost: object): void {
  process.stdout.write(`${JSON.stringify({what, ...cost})}\n`);
}

for (const waiting of WAITING_REQUESTS) {
  printResult('admission', measureAdmission(waiting));
}
for (const records of CUSTOMER_SIZES) {
  printResult('control', measureControl('customers', records));
}
for (const records of ENGINE_SIZES) {
  printResult('control', measureControl('engines', records));
}
for (const items of LEDGER_SIZES) {
  printResult('ledger', await measureLedger(items));
}
for (const vms of FLEET_SIZES) {
  printResult('fleet', await measureFleet(vms));
}
process.exit(0);
