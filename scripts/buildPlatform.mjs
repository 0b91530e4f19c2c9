/**
 * Builds `target/`: the program that the users' platform starts, as one small bundle with its code cache.
 */
import {build} from 'esbuild';
import {execFileSync} from 'node:child_process';
import {createRequire} from 'node:module';
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
/**
 * Modules of Node.js that hold objects of their own outside of V8's heap, which can't be stored: they are loaded when
 * something of them is used first.
 */
const LATE_MODULES = /^(?:node:)?(http|http2|https|tty)$/;
/** The program loaded, as V8 stores its heap. */
const HEAP_FILE = 'stallpaddle.blob';

/** Loads what is late when it is used first, whether the program was loaded now or with its heap. */
const lateParts = {
  name: 'late-parts',
  setup(builder) {
    const names = Object.keys(LATE_PACKAGES).join('|');
    builder.onResolve({filter: LATE_MODULES}, ({path: name}) => ({
      namespace: 'late-module',
      path: name.replace(/^node:/, ''),
    }));
    builder.onResolve({filter: new RegExp(`^(?:${names})$`)}, ({path: name}) => ({
      namespace: 'late-package',
      path: name,
    }));
    builder.onLoad({filter: /.*/, namespace: 'late-module'}, ({path: name}) => ({
      contents: `for (const name of ${JSON.stringify(Object.keys(createRequire(import.meta.url)(name)))})
        Object.defineProperty(exports, name, {
          enumerable: true,
          get: () => process.getBuiltinModule('node:${name}')[name],
        });`,
    }));
    builder.onLoad({filter: /.*/, namespace: 'late-package'}, ({path: name}) => ({
      contents: `module.exports =
        process.getBuiltinModule('node:module').createRequire(__filename)('${name}');`,
    }));
  },
};

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

/** Loads the program and stores the heap, with the flags of the processes that start from it. */
function storeHeap() {
  const heap = path.join(target, HEAP_FILE);
  const program = path.join(target, 'program.cjs');
  execFileSync(process.execPath, [...FLAGS, '--snapshot-blob', heap, '--build-snapshot', program], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
}

rmSync(target, {force: true, recursive: true});
await Promise.all([
  ...Object.entries(PROGRAMS).map(([source, file]) =>
    build({
      ...BUNDLE_OPTIONS,
      entryPoints: [path.join(root, source)],
      outfile: path.join(target, file),
      plugins: [lateParts],
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
storeHeap();
