/**
 * Builds `target/`: the bundled program that the platform starts, and its V8 code cache.
 */
import {build} from 'esbuild';
import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const target = path.join(root, 'target');

/**
 * Packages and the exports that are used of them. They are loaded only when metrics are read, so bundles of their own
 * keep them out of the file that is parsed at every start.
 */
const LAZY_PACKAGES = {'hdr-histogram-js': 'build', 'prom-client': 'Counter, Gauge, Registry'};
const BUNDLE_OPTIONS = {
  // The package's default entry is a UMD module, whose own files can't be bundled.
  alias: {'jsonc-parser': 'jsonc-parser/lib/esm/main.js'},
  bundle: true,
  format: 'cjs',
  logLevel: 'warning',
  // Identifiers stay as they are: names in logs would need `keepNames`, which runs code for each function that is created.
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  sourcemap: false,
  // The program runs as a plain script, in which only `require` works.
  supported: {'dynamic-import': false},
  target: 'node20',
};
/** The bundle that writes the code cache; this build runs it once. */
const CACHE_WRITER_FILE = 'warm.cjs';
/** Entry points and their bundles. `NodeProgram.ts` also contains the name of the program's bundle. */
const PROGRAMS = {
  'packages/stallpaddle-node/src/boot.ts': 'stallpaddle.cjs',
  'packages/stallpaddle-node/src/warm.ts': CACHE_WRITER_FILE,
  'platform/src/main.ts': 'program.cjs',
};

/** Settings of a fleet of one process, on ports that the operating system chooses. */
function cacheWriterSettings(folder) {
  const anyPort = '127.0.0.1:0';
  return {
    bounds: {acknowledge: '4s', apply: '2s', drain: '2s', grace: '8s', report: '1s'},
    callers: anyPort,
    control: anyPort,
    dataFolder: path.join(folder, 'data'),
    directory: anyPort,
    first: true,
    host: '127.0.0.1',
    losses: {regions: 0, vms: 0, zones: 0},
    metrics: '',
    name: 'warm',
    peerPort: 0,
    ready: anyPort,
    role: 'front',
    seeds: [anyPort],
    zone: 'z',
  };
}

/**
 * Starts the program once, so that the code cache contains the functions that run at startup. V8 rejects a code cache that was
 * written under other flags than those of the process, so neither has any.
 */
function writeCodeCache() {
  const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-warm-'));
  const settingsFile = path.join(folder, 'settings.json');
  writeFileSync(settingsFile, JSON.stringify(cacheWriterSettings(folder)));
  try {
    execFileSync(process.execPath, [path.join(target, CACHE_WRITER_FILE)], {
      env: {...process.env, STALLPADDLE_SETTINGS: settingsFile},
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  } finally {
    rmSync(folder, {force: true, recursive: true});
  }
}

rmSync(target, {force: true, recursive: true});
await Promise.all([
  ...Object.entries(PROGRAMS).map(([source, file]) =>
    build({
      ...BUNDLE_OPTIONS,
      entryPoints: [path.join(root, source)],
      external: Object.keys(LAZY_PACKAGES),
      outfile: path.join(target, file),
    }),
  ),
  ...Object.entries(LAZY_PACKAGES).map(([name, exportedNames]) =>
    build({
      ...BUNDLE_OPTIONS,
      outfile: path.join(target, 'node_modules', name, 'index.js'),
      stdin: {contents: `export {${exportedNames}} from '${name}';`, resolveDir: root},
    }),
  ),
]);
writeCodeCache();
