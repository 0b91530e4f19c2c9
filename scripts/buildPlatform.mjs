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

/** Loaded only when metrics are read: kept out of the file that every start has to parse. */
const LATE = {'hdr-histogram-js': 'build', 'prom-client': 'Counter, Gauge, Registry'};
const OPTIONS = {
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
/** The flags that the processes are started with: a code cache is of use to the same flags only. */
const FLAGS = ['--max-semi-space-size=2'];

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
    execFileSync(process.execPath, [...FLAGS, path.join(target, 'warm.cjs')], {
      env: {...process.env, STALLPADDLE_SETTINGS: settings},
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  } finally {
    rmSync(folder, {force: true, recursive: true});
  }
}

rmSync(target, {force: true, recursive: true});
const programs = {
  'packages/stallpaddle-node/src/boot.ts': 'stallpaddle.cjs',
  'packages/stallpaddle-node/src/warm.ts': 'warm.cjs',
  'platform/src/main.ts': 'program.cjs',
};
await Promise.all([
  ...Object.entries(programs).map(([source, file]) =>
    build({
      ...OPTIONS,
      entryPoints: [path.join(root, source)],
      external: Object.keys(LATE),
      outfile: path.join(target, file),
    }),
  ),
  ...Object.entries(LATE).map(([name, used]) =>
    build({
      ...OPTIONS,
      outfile: path.join(target, 'node_modules', name, 'index.js'),
      stdin: {contents: `export {${used}} from '${name}';`, resolveDir: root},
    }),
  ),
]);
writeCodeCache();
