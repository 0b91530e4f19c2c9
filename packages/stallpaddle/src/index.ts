export {AdaptiveTimeout, type TimeoutBounds} from './AdaptiveTimeout';
export {
  type Clock,
  type Deadline,
  delay,
  MAX_TIMER_MS,
  type MonotonicMs,
  registerTimeout,
  startDeadline,
  startTimeout,
  systemClock,
  type Timeout,
} from './Clock';
export {decodeValue, encodeValue} from './Codec';
/** Shared basics of all packages: identifiers, time, errors, verdicts, hashing, encoding, logs. */
export {registerResetDetector} from './ConnectionReset';
export {DrainableServer} from './DrainableServer';
export {type ErrorCode, errorMessage, type RefusalDetails, RefusalError, refuse} from './Errors';
export {isFinalStatus} from './FinalStatus';
export {hash32, rendezvousOrder, rendezvousOwner} from './Hash';
export {registerHeadLimit} from './HeadLimit';
export {openRequest} from './HttpRequest';
export {
  type CustomerId,
  type EngineId,
  generateId,
  type GroupId,
  type ReplicaId,
  type VmId,
  vmOfReplica,
  type ZoneId,
} from './Ids';
export {invariant, InvariantError, unreachable} from './Invariant';
export {LineWriter} from './LineWriter';
export {
  createLoggerFactory,
  type LogFields,
  type LogFormat,
  type Logger,
  type LoggerFactory,
  type LogPart,
  silentLogger,
  type WriteLine,
} from './Logger';
export {registerLoop} from './Loop';
export {exponentialMs, type Random, seededRandom} from './Random';
export {joinVerdicts, type Verdict, VERDICT_HEADER} from './Verdict';
