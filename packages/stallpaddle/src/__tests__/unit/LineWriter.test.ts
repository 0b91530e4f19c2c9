/**
 * Lines on pipes and files: all of them while somebody reads; a reader that is slow costs lines, and never time.
 */
import {execFileSync} from 'node:child_process';
import {closeSync, constants, mkdtempSync, openSync, readFileSync, readSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

import {delay} from '../../Clock';
import {LineWriter} from '../../LineWriter';

/** Far more than a pipe and the writer together hold. */
const LINES = 20_000;
const LINE = `${'x'.repeat(99)}\n`;
/** A writer that is held up never comes back; this is what a busy machine takes for the lines. */
const MOST_MS = 2_000;

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-lines-'));
});

afterEach(() => {
  rmSync(folder, {force: true, recursive: true});
});

/** Both ends of a pipe that nobody reads by itself. */
function openPipe(): {readonly from: number; readonly to: number} {
  const file = path.join(folder, 'pipe');
  execFileSync('mkfifo', [file]);
  const from = openSync(file, constants.O_RDONLY | constants.O_NONBLOCK);
  return {from, to: openSync(file, constants.O_WRONLY)};
}

function readAll(fd: number): string {
  const bytes = Buffer.alloc(65_536);
  let text = '';
  try {
    for (let size = readSync(fd, bytes); size > 0; size = readSync(fd, bytes)) {
      text += bytes.toString('utf8', 0, size);
    }
  } catch {
    // Nothing is there now.
  }
  return text;
}

test('writes what is added, in order, to a file', async () => {
  const file = path.join(folder, 'file');
  const fd = openSync(file, 'w');
  const writer = new LineWriter(fd);
  writer.add('one\n');
  writer.add('two\n');
  await writer.drain();
  writer.add('three\n');
  await writer.drain();
  closeSync(fd);
  expect(readFileSync(file, 'utf8')).toBe('one\ntwo\nthree\n');
});

test('a pipe that nobody reads holds nothing up; what was left out is told once somebody reads', async () => {
  const {from, to} = openPipe();
  const writer = new LineWriter(to);
  const startedAt = performance.now();
  for (let line = 0; line < LINES; line++) {
    writer.add(LINE);
    if (line % 100 === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  expect(performance.now() - startedAt).toBeLessThan(MOST_MS);
  let text = '';
  const settled = writer.drain().then(() => true);
  for (
    let ended = false;
    !ended;
    ended = await Promise.race([settled, delay(2).then(() => false)])
  ) {
    text += readAll(from);
  }
  writer.add('last\n');
  await writer.drain();
  text += readAll(from);
  closeSync(from);
  const lines = text.split('\n').slice(0, -1);
  const told = lines.filter((line) => line.includes('left out')).map((line) => JSON.parse(line));
  const leftOut = told.reduce((sum: number, {lines: count}) => sum + Number(count), 0);
  expect(leftOut).toBeGreaterThan(0);
  expect(lines.at(-1)).toBe('last');
  expect(lines.filter((line) => line === LINE.trim()).length + leftOut).toBe(LINES);
});
