/** Replicated state of the control group, and the fleet status that processes watch. */
export {type ConfigFault, findConfigFault, type JobOrigin, RouteTable} from './FleetConfigs';
export {CustomerTable, findCustomerFault, keyDigest, withoutSource} from './FleetCustomers';
export {
  applyStatusDelta,
  diffStatus,
  isEmptyDelta,
  sortByName,
  type StatusDelta,
  type StatusUpdate,
} from './FleetDelta';
export {type Feature, FEATURES, type FeatureSwitches, isFeatureOn} from './FleetFeatures';
export {FleetHistory, type NumberedStatus} from './FleetHistory';
export {changesEngine, fleetMachine, isOutdated, laterHolders} from './FleetMachine';
export {quarantinedGroups, suspectPartDetails, suspectPartViews} from './FleetPartCauses';
export {knownSoftware, knownSuspects, leavingEngines, pendingConfigVersion} from './FleetReading';
export {
  type EngineSoftware,
  hasMixedSoftware,
  mayContinue,
  provenSoftware,
  recentSoftware,
  servedSoftware,
  type SoftwareByService,
  softwareKey,
  type SoftwareReading,
  streamLifeMs,
  versionsOfRoute,
} from './FleetSoftware';
export {
  afterPartsEnd,
  afterPartsRelease,
  afterPartsTrial,
  type FleetSuspectPart,
  type FleetSuspectParts,
  type KnownPart,
  partTrialDelayMs,
  type ReleaseParts,
  type SuspectPartDetails,
  type SuspectPartView,
  type TryParts,
} from './FleetSuspectParts';
export {
  afterEngineEnd,
  afterRelease,
  afterTick,
  FIRST_QUARANTINE_MS,
  type FleetSuspect,
  type FleetSuspects,
  type NoteEngineEnd,
  QUARANTINE_LEVEL,
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
  UNKNOWN_SOFTWARE,
  UNKNOWN_START,
} from './FleetTypes';
export {
  applyReplicaReading,
  applyWatchAnswer,
  EMPTY_VIEW,
  engineOf,
  type EngineView,
  type EntryView,
  type FleetHeartbeat,
  type FleetRequest,
  type FleetStatus,
  type FleetView,
  type ForwardedHeartbeat,
  type JobsGroupReport,
  type KnownVersions,
  type PendingConfig,
  type ReplicaReading,
  type RetireAnswer,
  type StoreView,
  UNPROVEN_TERM,
  type WatchAnswer,
} from './FleetView';
