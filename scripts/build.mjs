/**
 * Builds `dist/stallpaddle`, a Node single executable application that contains the bundled command line.
 */
import {build} from 'esbuild';
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, readFileSync, renameSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import path from 'node:path';
import {inject} from 'postject';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const dist = path.join(root, 'dist');
const bundle = path.join(dist, 'stallpaddle.cjs');
const binary = path.join(dist, 'stallpaddle');
/** Marks the place in the Node binary where the blob is injected. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(dist, {recursive: true});
await build({
  bundle: true,
  entryPoints: [path.join(root, 'packages/stallpaddle-cli/src/main.ts')],
  format: 'cjs',
  logLevel: 'warning',
  minifySyntax: true,
  outfile: bundle,
  platform: 'node',
  sourcemap: 'inline',
  target: 'node20',
});
const seaConfig = path.join(dist, 'sea.json');
const blob = path.join(dist, 'sea.blob');
writeFileSync(
  seaConfig,
  JSON.stringify({disableExperimentalSEAWarning: true, main: bundle, output: blob}),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
// The new binary replaces the old one by a rename, so a build never leaves a partly written file in its place.
const staged = `${binary}.new`;
copyFileSync(process.execPath, staged);
chmodSync(staged, 0o755);
await inject(staged, 'NODE_SEA_BLOB', readFileSync(blob), {sentinelFuse: SEA_FUSE});
renameSync(staged, binary);
