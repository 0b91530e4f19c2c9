/**
 * `npm run fuzz -- --minutes N --seed S`: runs every property test for N minutes and prints how many
 * histories ran. A failing test prints its seed and the shrunk history.
 */
import {spawnSync} from 'node:child_process';
import {parseArgs} from 'node:util';

const {values} = parseArgs({
  options: {
    minutes: {default: '1', type: 'string'},
    seed: {default: String(Date.now() % 2_147_483_647), type: 'string'},
  },
});
const seed = Number(values.seed);
const minutes = Number(values.minutes);
if (!Number.isInteger(seed) || !(minutes > 0)) {
  process.stderr.write('fuzz: --minutes must be a number above 0, --seed a whole number\n');
  process.exit(2);
}
process.stdout.write(`fuzz: ${minutes} minutes for each property, seed ${seed}\n`);
const {status} = spawnSync('npx', ['vitest', 'run', '--dir', 'packages', 'unit'], {
  env: {
    ...process.env,
    STALLPADDLE_FUZZ_MINUTES: String(minutes),
    STALLPADDLE_FUZZ_SEED: String(seed),
  },
  stdio: 'inherit',
});
process.exit(status ?? 1);
