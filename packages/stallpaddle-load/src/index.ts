/** Open-loop load generator and the HTTP client that it uses. */
export {callServer, type ServerAnswer, type ServerCall} from './LoadHttp';
export {type OpenLoopOptions, type OpenLoopResult, runOpenLoop} from './LoadOpenLoop';
