/** Loads the program with V8's code cache, which shortens the start by most of the compilation. */
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire, Module} from 'node:module';
import path from 'node:path';
import {Script} from 'node:vm';

/** File of the program, in the loader's folder; must match the name that the build gives it. */
export const PROGRAM_FILE = 'program.cjs';
/** File of the code cache. V8 rejects a cache written by another version of Node.js or with other flags. */
export const CODE_CACHE_FILE = 'program.cache';

/** The program in its CommonJS wrapper. */
type ProgramBody = (
  exports: unknown,
  require: NodeJS.Require,
  module: {exports: unknown},
  file: string,
  folder: string,
) => void;

/** Content of a file; undefined when it can't be read. */
function readIfThere(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch {
    return undefined;
  }
}

/**
 * Loads and runs the program.
 *
 * @param folder folder of its files
 * @returns the compiled script, from which a code cache can be created
 */
export function loadProgram(folder: string): Script {
  const file = path.join(folder, PROGRAM_FILE);
  const script = new Script(Module.wrap(readFileSync(file, 'utf8')), {
    // Without a cache the program starts more slowly.
    cachedData: readIfThere(path.join(folder, CODE_CACHE_FILE)),
    filename: file,
  });
  const program = {exports: {}};
  const body = script.runInThisContext() as ProgramBody;
  body(program.exports, createRequire(file), program, file, folder);
  return script;
}

/**
 * Writes the code cache, with all functions compiled so far.
 *
 * @param folder folder of the program's files
 * @param script the script that `loadProgram` returned
 */
export function writeCodeCache(folder: string, script: Script): void {
  writeFileSync(path.join(folder, CODE_CACHE_FILE), script.createCachedData());
}
