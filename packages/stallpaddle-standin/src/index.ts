/** Simulated backend servers for demos and tests. */
export {CRASH_MARK, StandInEngine, UNCOMPLETABLE_MARK} from './StandInEngine';
export {answerWords} from './StandInHttp';
export {StandInService} from './StandInService';
