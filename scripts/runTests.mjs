/**
 * Runs all tests, passes over just those listed in KNOWN-RED.txt, and prints them. A line of the list reads
 * `test name | cause | issue`; three lines at most. A listed test that passes fails the run: its line must go.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

const LIST = 'KNOWN-RED.txt';
const MOST_KNOWN = 3;

/** Names of the listed tests. */
function knownRed() {
  const lines = existsSync(LIST) ? readFileSync(LIST, 'utf8').split('\n') : [];
  return lines.filter((line) => line.trim() !== '').map((line) => line.split('|')[0].trim());
}

/** Why the run doesn't count as passed; empty when it does. */
function judge(status, report, known) {
  const {files, tests, unhandled} = report;
  return [
    ...tests.filter((name) => !known.includes(name)).map((name) => `failed: ${name}`),
    ...known.filter((name) => !tests.includes(name)).map((name) => `listed, not red: ${name}`),
    ...files.map((name) => `the file itself failed: ${name}`),
    ...(unhandled > 0 ? [`${unhandled} errors outside of tests`] : []),
    ...(known.length > MOST_KNOWN ? [`${LIST} has more than ${MOST_KNOWN} lines`] : []),
    ...(status !== 0 && tests.length === 0 ? [`vitest ended with ${status}`] : []),
  ];
}

const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-tests-'));
const file = path.join(folder, 'report.json');
const env = {...process.env, STALLPADDLE_TEST_REPORT: file};
const {status} = spawnSync('npx', ['vitest', 'run'], {env, stdio: 'inherit'});
const report = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined;
rmSync(folder, {force: true, recursive: true});

const known = knownRed();
known.forEach((name) => process.stdout.write(`known to fail (${LIST}): ${name}\n`));
const reasons = report === undefined ? ['no report was written'] : judge(status, report, known);
reasons.forEach((reason) => process.stdout.write(`NOT PASSED: ${reason}\n`));
process.exitCode = reasons.length === 0 ? 0 : 1;
