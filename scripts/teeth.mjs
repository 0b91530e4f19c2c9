/**
 * `npm run teeth [-- TEXT]`: puts one deliberate fault after another into a copy of the code, and checks that
 * the named tests then fail. Prints a table; exits 1 when a fault stays unseen.
 */
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const [wanted = ''] = process.argv.slice(2);
const faults = JSON.parse(readFileSync(path.join(root, 'scripts/teeth.json'), 'utf8')).filter(
  ({fault, invariant}) => fault.includes(wanted) || invariant.includes(wanted),
);
const copy = mkdtempSync(path.join(tmpdir(), 'stallpaddle-teeth-'));

/** A copy of the packages whose workspace links lead to the copy. */
function prepare() {
  cpSync(path.join(root, 'packages'), path.join(copy, 'packages'), {recursive: true});
  for (const file of ['package.json', 'vitest.config.ts', 'tsconfig.json']) {
    cpSync(path.join(root, file), path.join(copy, file));
  }
  cpSync(path.join(root, 'scripts'), path.join(copy, 'scripts'), {recursive: true});
  mkdirSync(path.join(copy, 'node_modules'));
  const own = new Set(readdirSync(path.join(copy, 'packages')));
  for (const name of readdirSync(path.join(root, 'node_modules'))) {
    const target = own.has(name)
      ? path.join(copy, 'packages', name)
      : path.join(root, 'node_modules', name);
    symlinkSync(target, path.join(copy, 'node_modules', name));
  }
}

function run(fault) {
  const file = path.join(copy, 'packages', fault.file);
  const before = readFileSync(file, 'utf8');
  let faulty = before;
  for (const {find, put} of fault.edits ?? [fault]) {
    if (faulty.split(find).length !== 2) {
      return 'the place was not found once';
    }
    faulty = faulty.replace(find, () => put);
  }
  writeFileSync(file, faulty);
  const args = ['vitest', 'run', ...fault.tests, ...(fault.name ? ['-t', fault.name] : [])];
  const {status, stdout} = spawnSync('npx', args, {cwd: copy, encoding: 'utf8'});
  writeFileSync(file, before);
  if (status === 0) {
    return 'NOT SEEN';
  }
  const ran = /(\d+) passed, (\d+) failed/.exec(stdout);
  return ran !== null && Number(ran[2]) > 0 ? `seen (${ran[2]} failed)` : 'the run itself failed';
}

prepare();
let unseen = 0;
try {
  for (const fault of faults) {
    const outcome = run(fault);
    unseen += outcome.startsWith('seen') ? 0 : 1;
    process.stdout.write(
      `| ${fault.invariant} | ${fault.fault} | ${fault.tests.join(', ')} | ${outcome} |\n`,
    );
  }
} finally {
  rmSync(copy, {force: true, recursive: true});
}
process.stdout.write(`${faults.length - unseen} of ${faults.length} faults seen\n`);
process.exit(unseen === 0 ? 0 : 1);
