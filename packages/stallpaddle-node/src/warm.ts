/**
 * Runs during the build: starts the program briefly and writes the code cache. The build passes the settings of a fleet
 * that consists of this process only.
 */
import {loadProgram, writeCodeCache} from './NodeProgram';

/** Time for which the program runs, in milliseconds; functions not called by then are left out of the code cache. */
const WARM_MS = 1_500;

const script = loadProgram(__dirname);
setTimeout(() => {
  writeCodeCache(__dirname, script);
  process.exit(0);
}, WARM_MS);
