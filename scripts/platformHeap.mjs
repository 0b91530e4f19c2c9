/**
 * How the platform's program is stored as a loaded heap, from which a process starts without loading, compiling and
 * evaluating half a megabyte first.
 */
import {execFileSync} from 'node:child_process';
import {createRequire} from 'node:module';

/**
 * The flags that the processes are started with, as in `deploy/system.toml`: a heap and a code cache are of use to the
 * same flags only.
 */
export const FLAGS = ['--max-semi-space-size=2'];

/** The program loaded, as V8 stores its heap. */
export const HEAP_FILE = 'stallpaddle.blob';

/**
 * Packages with what is used of them. They are loaded only when metrics are read, so they are kept out of what every
 * process holds.
 */
export const LATE_PACKAGES = {
  'hdr-histogram-js': 'build',
  'prom-client': 'Counter, Gauge, Registry',
};

/**
 * Modules of Node.js that hold objects of their own outside of V8's heap, which can't be stored: they are loaded when
 * something of them is used first.
 */
const LATE_MODULES = /^(?:node:)?(http|http2|https|tty)$/;

const require = createRequire(import.meta.url);

function lateModule(name) {
  return `for (const name of ${JSON.stringify(Object.keys(require(name)))})
    Object.defineProperty(exports, name, {
      enumerable: true,
      get: () => process.getBuiltinModule('node:${name}')[name],
    });`;
}

function latePackage(name) {
  return `module.exports =
    process.getBuiltinModule('node:module').createRequire(__filename)('${name}');`;
}

/** Loads what is late when it is used first, whether the program was loaded now or with its heap. */
export const lateParts = {
  name: 'late-parts',
  setup(builder) {
    const packages = new RegExp(`^(?:${Object.keys(LATE_PACKAGES).join('|')})$`);
    builder.onResolve({filter: LATE_MODULES}, ({path}) => ({
      namespace: 'late-module',
      path: path.replace(/^node:/, ''),
    }));
    builder.onResolve({filter: packages}, ({path}) => ({namespace: 'late-package', path}));
    builder.onLoad({filter: /.*/, namespace: 'late-module'}, ({path}) => ({
      contents: lateModule(path),
    }));
    builder.onLoad({filter: /.*/, namespace: 'late-package'}, ({path}) => ({
      contents: latePackage(path),
    }));
  },
};

/**
 * Loads a program and stores the heap.
 *
 * @param {string} program its bundle
 * @param {string} heap where the heap goes
 */
export function storeHeap(program, heap) {
  execFileSync(process.execPath, [...FLAGS, '--snapshot-blob', heap, '--build-snapshot', program], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
}
