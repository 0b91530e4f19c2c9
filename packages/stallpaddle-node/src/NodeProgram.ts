/**
 * Loads the program with V8's code cache beside it: a process that starts again serves sooner when the
 * engine need not compile half a megabyte first.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire, Module} from 'node:module';
import path from 'node:path';
import {Script} from 'node:vm';

/** File of the program, beside the one that loads it; the build names it so. */
export const PROGRAM_FILE = 'program.cjs';
/** File of the code cache. It is of use only to the same Node.js with the same flags, else it is passed over. */
export const CODE_CACHE_FILE = 'program.cache';

/** The program as CommonJS wraps it. */
type ProgramBody = (
  exports: unknown,
  require: NodeJS.Require,
  module: {exports: unknown},
  file: string,
  folder: string,
) => void;

/** Content of a file, or nothing when it can't be read. */
function readIfThere(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch {
    return undefined;
  }
}

/**
 * Runs the program.
 *
 * @param folder where its files are
 * @returns the compiled program, from which a code cache can be made
 */
export function loadProgram(folder: string): Script {
  const file = path.join(folder, PROGRAM_FILE);
  const script = new Script(Module.wrap(readFileSync(file, 'utf8')), {
    // Without a cache the program only starts later.
    cachedData: readIfThere(path.join(folder, CODE_CACHE_FILE)),
    filename: file,
  });
  const program = {exports: {}};
  const body = script.runInThisContext() as ProgramBody;
  body(program.exports, createRequire(file), program, file, folder);
  return script;
}

/**
 * Writes the code cache, with all functions that have run by now.
 *
 * @param folder where the program's files are
 * @param script the program, as `loadProgram` returned it
 */
export function writeCodeCache(folder: string, script: Script): void {
  writeFileSync(path.join(folder, CODE_CACHE_FILE), script.createCachedData());
}
