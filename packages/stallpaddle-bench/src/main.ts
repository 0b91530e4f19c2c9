/**
 * `npm run bench`: measures a ledger shard with three replicas and prints the result as JSON.
 */
import {measureLedger} from './BenchLedger';

const ITEMS = 50_000;

process.stdout.write(`${JSON.stringify(await measureLedger(ITEMS))}\n`);
process.exit(0);
