/**
 * `npm run teeth [-- TEXT]`: mutation testing with the faults of `teeth.json`. Applies each fault whose description or
 * invariant contains TEXT to a copy of the code and checks that the named tests fail. Prints a table; exits 1 when a
 * fault is not detected.
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
const [filter = ''] = process.argv.slice(2);
const faults = JSON.parse(readFileSync(path.join(root, 'scripts/teeth.json'), 'utf8')).filter(
  ({fault, invariant}) => fault.includes(filter) || invariant.includes(filter),
);
const copy = mkdtempSync(path.join(tmpdir(), 'stallpaddle-teeth-'));

/** Copies the packages and links the copy's workspace packages to each other instead of to the originals. */
function createCopy() {
  cpSync(path.join(root, 'packages'), path.join(copy, 'packages'), {recursive: true});
  for (const file of ['package.json', 'vitest.config.ts', 'tsconfig.json']) {
    cpSync(path.join(root, file), path.join(copy, file));
  }
  cpSync(path.join(root, 'scripts'), path.join(copy, 'scripts'), {recursive: true});
  mkdirSync(path.join(copy, 'node_modules'));
  const workspacePackages = new Set(readdirSync(path.join(copy, 'packages')));
  for (const name of readdirSync(path.join(root, 'node_modules'))) {
    const target = workspacePackages.has(name)
      ? path.join(copy, 'packages', name)
      : path.join(root, 'node_modules', name);
    symlinkSync(target, path.join(copy, 'node_modules', name));
  }
}

/** Runs the fault's tests with the fault applied; returns the outcome for the table. */
function testFault(fault) {
  const file = path.join(copy, 'packages', fault.file);
  const original = readFileSync(file, 'utf8');
  let mutated = original;
  for (const {find, put} of fault.edits ?? [fault]) {
    if (mutated.split(find).length !== 2) {
      return 'the place was not found once';
    }
    mutated = mutated.replace(find, () => put);
  }
  writeFileSync(file, mutated);
  const args = ['vitest', 'run', ...fault.tests, ...(fault.name ? ['-t', fault.name] : [])];
  const {status, stdout} = spawnSync('npx', args, {cwd: copy, encoding: 'utf8'});
  writeFileSync(file, original);
  if (status === 0) {
    return 'NOT SEEN';
  }
  const summary = /(\d+) passed, (\d+) failed/.exec(stdout);
  return summary !== null && Number(summary[2]) > 0
    ? `seen (${summary[2]} failed)`
    : 'the run itself failed';
}

createCopy();
let undetected = 0;
try {
  for (const fault of faults) {
    const outcome = testFault(fault);
    undetected += outcome.startsWith('seen') ? 0 : 1;
    process.stdout.write(
      `| ${fault.invariant} | ${fault.fault} | ${fault.tests.join(', ')} | ${outcome} |\n`,
    );
  }
} finally {
  rmSync(copy, {force: true, recursive: true});
}
process.stdout.write(`${faults.length - undetected} of ${faults.length} faults seen\n`);
process.exit(undetected === 0 ? 0 : 1);
