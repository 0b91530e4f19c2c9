/** The control group's state for self-registering engines and whole configurations. */
export {type ConfigFault, findConfigFault, RouteTable} from './FleetConfigs';
export {CustomerTable, findCustomerFault, keyDigest, withoutSource} from './FleetCustomers';
export {
  applyStatusDelta,
  diffStatus,
  isEmptyDelta,
  type StatusDelta,
  type StatusUpdate,
  sortByName,
} from './FleetDelta';
export {FleetHistory, type NumberedStatus} from './FleetHistory';
export {fleetMachine, changesEngine, isOutdated, laterHolders} from './FleetMachine';
export {
  afterEngineEnd,
  afterRelease,
  afterTick,
  FIRST_QUARANTINE_MS,
  type FleetSuspect,
  type FleetSuspects,
  QUARANTINE_LEVEL,
  type NoteEngineEnd,
  type ReleaseRequest,
  suspectDetails,
  type SuspectDetails,
  suspectView,
  type SuspectView,
} from './FleetSuspects';
export {
  type EngineReport,
  type FleetAnswer,
  type FleetCommand,
  type FleetConfig,
  type FleetCustomer,
  type FleetEngine,
  type FleetLimits,
  type FleetRoute,
  type FleetService,
  type FleetState,
  type FleetStore,
  type RemoveEngine,
  type RouteKind,
  type RouteShare,
  type StoredConfig,
  UNKNOWN_START,
} from './FleetTypes';
export {
  EMPTY_VIEW,
  engineOf,
  type EngineView,
  type EntryView,
  type FleetStatus,
  type FleetRequest,
  type FleetView,
  type FleetHeartbeat,
  type JobsGroupReport,
  type KnownVersions,
  type ForwardedHeartbeat,
  type RetireAnswer,
  type StoreView,
  applyWatchAnswer,
  UNPROVEN_TERM,
  type WatchAnswer,
} from './FleetView';
