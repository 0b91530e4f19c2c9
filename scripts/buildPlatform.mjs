/**
 * Builds `target/`: the program that the users' platform starts, as one small bundle with its code cache.
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
 * Packages with what is used of them. They are loaded only when metrics are read, so they are kept out of the
 * file that every start has to parse.
 */
const LATE_PACKAGES = {'hdr-histogram-js': 'build', 'prom-client': 'Counter, Gauge, Registry'};
/** What all bundles have in common. */
const BUNDLE_OPTIONS = {
  bundle: true,
  format: 'cjs',
  keepNames: true,
  logLevel: 'warning',
  minify: true,
  platform: 'node',
  sourcemap: false,
  // The program runs as a script of its own, in which only `require` works.
  supported: {'dynamic-import': false},
  target: 'node20',
};
/**
 * The flags that the processes are started with, as in `deploy/system.toml`: a code cache is of use to the same
 * flags only.
 */
const FLAGS = ['--max-semi-space-size=2'];

/** The file that writes the code cache, run once by this build. */
const WARM_FILE = 'warm.cjs';
/** Sources and their bundles; `NodeProgram.ts` knows the name of the program's bundle too. */
const PROGRAMS = {
  'packages/stallpaddle-node/src/boot.ts': 'stallpaddle.cjs',
  'packages/stallpaddle-node/src/warm.ts': WARM_FILE,
  'platform/src/main.ts': 'program.cjs',
};

/** Settings of a process alone on this machine, on ports that the system chooses. */
function warmSettings(folder) {
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

/** Starts the program once, so that the code cache holds what a start runs. */
function writeCodeCache() {
  const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-warm-'));
  const settings = path.join(folder, 'settings.json');
  writeFileSync(settings, JSON.stringify(warmSettings(folder)));
  try {
    execFileSync(process.execPath, [...FLAGS, path.join(target, WARM_FILE)], {
      env: {...process.env, STALLPADDLE_SETTINGS: settings},
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
      external: Object.keys(LATE_PACKAGES),
      outfile: path.join(target, file),
    }),
  ),
  ...Object.entries(LATE_PACKAGES).map(([name, used]) =>
    build({
      ...BUNDLE_OPTIONS,
      outfile: path.join(target, 'node_modules', name, 'index.js'),
      stdin: {contents: `export {${used}} from '${name}';`, resolveDir: root},
    }),
  ),
]);
writeCodeCache();
