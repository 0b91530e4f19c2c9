/** Entry point of the program. It is kept small because, unlike the program, it is compiled without the code cache. */
import {loadProgram} from './NodeProgram';

loadProgram(__dirname);
