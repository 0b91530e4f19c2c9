/** Load tool, and the plain HTTP calls under it. */
export {callServer, type ServerAnswer, type ServerCall} from './LoadHttp';
export {type OpenLoopOptions, type OpenLoopResult, runOpenLoop} from './LoadOpenLoop';
