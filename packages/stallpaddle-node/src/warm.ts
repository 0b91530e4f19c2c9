/**
 * Run by the build: starts the program for a moment on addresses of this machine, and writes the code cache of
 * what ran. The settings are those of a process alone, on ports that the system chooses.
 */
import {loadProgram, writeCodeCache} from './NodeProgram';

/** Time for the process to start, in milliseconds; what has not run by then is compiled when it is needed. */
const WARM_MS = 1_500;

const script = loadProgram(__dirname);
setTimeout(() => {
  writeCodeCache(__dirname, script);
  process.exit(0);
}, WARM_MS);
