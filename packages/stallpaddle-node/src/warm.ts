/**
 * Run by the build: starts the program for a moment, and writes the code cache of what ran. The build gives it
 * the settings of a process alone on this machine.
 */
import {loadProgram, writeCodeCache} from './NodeProgram';

/** Time for the process to start, in milliseconds; what has not run by then is compiled when it is needed. */
const WARM_MS = 1_500;

const script = loadProgram(__dirname);
setTimeout(() => {
  writeCodeCache(__dirname, script);
  process.exit(0);
}, WARM_MS);
