/**
 * Entry point of the `stallpaddle` binary.
 */
import {runCli} from './Cli';

runCli(process.argv).then(
  (code) => {
    process.exitCode = code;
  },
  (err: unknown) => {
    process.stderr.write(`stallpaddle: ${String(err)}\n`);
    process.exitCode = 1;
  },
);
