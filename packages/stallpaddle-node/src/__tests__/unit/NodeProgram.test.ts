/** Guards against a missing, outdated or corrupt code cache keeping the program from running. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';

import {CODE_CACHE_FILE, loadProgram, PROGRAM_FILE, writeCodeCache} from '../../NodeProgram';

declare global {
  var programSaw: unknown;
}

let folder: string;

function writeProgram(word: string): void {
  const text = `const path = require('node:path'); globalThis.programSaw = ['${word}', path.basename(__filename), require('./other.cjs')];`;
  writeFileSync(path.join(folder, PROGRAM_FILE), text);
}

beforeEach(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-program-'));
  writeFileSync(path.join(folder, 'other.cjs'), 'module.exports = "beside";');
});

afterEach(() => {
  rmSync(folder, {force: true, recursive: true});
});

describe('NodeProgram', () => {
  test('runs without a code cache, and can require files in its folder', () => {
    writeProgram('one');
    const script = loadProgram(folder);
    expect(globalThis.programSaw).toEqual(['one', PROGRAM_FILE, 'beside']);
    expect(script.cachedDataRejected).toBeUndefined();
  });

  test('uses its own code cache', () => {
    writeProgram('two');
    writeCodeCache(folder, loadProgram(folder));
    globalThis.programSaw = null;
    const script = loadProgram(folder);
    expect(script.cachedDataRejected).toBe(false);
    expect(globalThis.programSaw).toEqual(['two', PROGRAM_FILE, 'beside']);
  });

  test('ignores the code cache of another program', () => {
    writeProgram('three');
    writeCodeCache(folder, loadProgram(folder));
    writeProgram('another length');
    expect(loadProgram(folder).cachedDataRejected).toBe(true);
    expect(globalThis.programSaw).toEqual(['another length', PROGRAM_FILE, 'beside']);
  });

  test('ignores a corrupt code cache', () => {
    writeProgram('four');
    writeFileSync(path.join(folder, CODE_CACHE_FILE), 'no cache');
    expect(loadProgram(folder).cachedDataRejected).toBe(true);
    expect(globalThis.programSaw).toEqual(['four', PROGRAM_FILE, 'beside']);
  });
});
