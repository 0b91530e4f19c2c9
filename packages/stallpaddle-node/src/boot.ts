/**
 * First file of the program: small, so that it is compiled at once; all else comes with the code cache.
 */
import {loadProgram} from './NodeProgram';

loadProgram(__dirname);
