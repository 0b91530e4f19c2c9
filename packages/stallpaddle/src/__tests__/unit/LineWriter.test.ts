/**
 * Writing to pipes and files: no line is lost while the reader keeps up, and a slow reader never blocks the process.
 */
import {execFileSync} from 'node:child_process';
import {closeSync, constants, mkdtempSync, openSync, readFileSync, readSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

import {delay} from '../../Clock';
import {LineWriter} from '../../LineWriter';

/** Far more than fits into the pipe's and the writer's buffers. */
const LINES = 20_000;
const LINE = `${'x'.repeat(99)}\n`;
/** Most time for adding all lines on a busy machine, in milliseconds; a blocked writer would never return. */
const MAX_ADD_MS = 2_000;

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-lines-'));
});

afterEach(() => {
  rmSync(folder, {force: true, recursive: true});
});

/** Opens a pipe and returns both ends. */
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
    // The pipe is empty.
  }
  return text;
}

test('writes added lines to a file in order', async () => {
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

test('an unread pipe does not block the process, and the number of dropped lines is written later', async () => {
  const {from, to} = openPipe();
  const writer = new LineWriter(to);
  const startedAt = performance.now();
  for (let line = 0; line < LINES; line++) {
    writer.add(LINE);
    if (line % 100 === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  expect(performance.now() - startedAt).toBeLessThan(MAX_ADD_MS);
  let text = '';
  const drained = writer.drain().then(() => true);
  for (
    let ended = false;
    !ended;
    ended = await Promise.race([drained, delay(2).then(() => false)])
  ) {
    text += readAll(from);
  }
  writer.add('last\n');
  await writer.drain();
  text += readAll(from);
  closeSync(from);
  const lines = text.split('\n').slice(0, -1);
  const notices = lines.filter((line) => line.includes('left out')).map((line) => JSON.parse(line));
  const dropped = notices.reduce((sum: number, {lines: count}) => sum + Number(count), 0);
  expect(dropped).toBeGreaterThan(0);
  expect(lines.at(-1)).toBe('last');
  expect(lines.filter((line) => line === LINE.trim()).length + dropped).toBe(LINES);
});
