/**
 * `npm run bench`: items through a ledger shard with three real replicas.
 */
import {measureLedger} from './BenchLedger';

const ITEMS = 50_000;

process.stdout.write(`${JSON.stringify(await measureLedger(ITEMS))}\n`);
process.exit(0);
