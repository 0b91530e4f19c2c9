/**
 * Builds `target/stallpaddle.cjs`: the program that the users' platform starts, one small bundle.
 */
import {build} from 'esbuild';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

await build({
  bundle: true,
  entryPoints: [path.join(root, 'platform/src/main.ts')],
  format: 'cjs',
  logLevel: 'warning',
  minify: true,
  keepNames: true,
  outfile: path.join(root, 'target/stallpaddle.cjs'),
  platform: 'node',
  sourcemap: false,
  target: 'node20',
});
