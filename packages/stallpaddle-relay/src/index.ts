export {RelayAdmission, type RelayAdmissionOptions} from './RelayAdmission';
export {readChunks} from './RelayChunks';
export {SERVER_ERROR} from './RelayConstants';
export {RelayDeadlines} from './RelayDeadlines';
export {demandName, RelayDemand} from './RelayDemand';
export {type DigestInput, requestDigest} from './RelayDigest';
export {
  type EngineCall,
  type EngineCallStart,
  type EngineRequest,
  isFramedResponse,
  type NotRunReason,
  splitAddress,
  startEngineCall,
} from './RelayEngineCall';
export {type EngineIncarnation, RelayEngineHealth} from './RelayEngineHealth';
export {EventSplitter, isNextEvent, type StreamEvent} from './RelayEvents';
export {type FleetLoadDetails, RelayFleetLoad} from './RelayFleetLoad';
export {encodeHeader, encodePath, engineHeaders, forwardedHeaders} from './RelayHeaders';
export {type DisconnectReason, RelayHeldBytes} from './RelayHeldBytes';
export {RelayLatencies} from './RelayLatencies';
export {type OnlineCounts, RelayOnlineLoad} from './RelayOnlineLoad';
export {type EngineHealth, INITIAL_HEALTH, isHealthy, selectEngine} from './RelayPlacement';
export {isNamedByStart, type StartCheck} from './RelayProbe';
/** Relays callers' requests to engines and the responses back. */
export {sendRefusal} from './RelayRefusals';
export {RelayRun} from './RelayRun';
export {RelaySpeeds, type RelaySpeedsOptions, type SpeedsDetails} from './RelaySpeeds';
export {RelayStarts} from './RelayStarts';
export {
  RelayStreamRecords,
  type RelayStreams,
  type StreamRecord,
  UNCONFIRMED_SOFTWARE,
} from './RelayStreams';
export {type QuarantinedGroup, RelaySuspectParts} from './RelaySuspectParts';
export {
  type InterruptedRun,
  isStarting,
  RelaySuspects,
  type RelaySuspectsOptions,
  type RunProgress,
} from './RelaySuspects';
export type {RelayCaller, RelayContext, RelayDecision, RelayEnd, RelayRequest} from './RelayTypes';
export type {
  CallerMetadata,
  EngineCallMetadata,
  EngineControlRequest,
  EngineOccupancy,
  HeaderLine,
  RelayWire,
  ResponseMetadata,
} from './RelayWire';
