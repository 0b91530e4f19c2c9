/** Brings callers' requests to engines and the answers back. */
export {sendRefusal} from './RelayAnswers';
export {SERVER_ERROR} from './RelayConstants';
export {type DigestInput, requestDigest} from './RelayDigest';
export {
  type EngineCall,
  type EngineCallStart,
  type EngineRequest,
  type NotRunReason,
  splitAddress,
  startEngineCall,
} from './RelayEngineCall';
export {isNextEvent, EventSplitter, type StreamEvent} from './RelayEvents';
export {type EngineIncarnation, RelayEngineHealth} from './RelayEngineHealth';
export {forwardedHeaders} from './RelayHeaders';
export {type OnlineCounts, RelayOnlineLoad} from './RelayOnlineLoad';
export {RelayLatencies} from './RelayLatencies';
export {type EngineHealth, isHealthy} from './RelayPlacement';
export {RelayRun} from './RelayRun';
export {
  isStarting,
  RelaySuspects,
  type RelaySuspectsOptions,
  type RunProgress,
} from './RelaySuspects';
export type {RelayCaller, RelayContext, RelayDecision, RelayEnd, RelayRequest} from './RelayTypes';
export {RelayDeadlines} from './RelayDeadlines';
export type {
  ResponseMetadata,
  CallerMetadata,
  EngineCallMetadata,
  EngineOccupancy,
  EngineControlRequest,
  HeaderLine,
  RelayWire,
} from './RelayWire';
