/**
 * Builds `target/stallpaddle.cjs`: the program that the users' platform starts, one small bundle.
 */
import {build} from 'esbuild';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

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
  target: 'node20',
};

await build({
  ...OPTIONS,
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  external: Object.keys(LATE),
  outfile: path.join(root, 'target/stallpaddle.cjs'),
});
await Promise.all(
  Object.entries(LATE).map(([name, used]) =>
    build({
      ...OPTIONS,
      outfile: path.join(root, 'target/node_modules', name, 'index.js'),
      stdin: {contents: `export {${used}} from '${name}';`, resolveDir: root},
    }),
  ),
);
