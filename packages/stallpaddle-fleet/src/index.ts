/** The control group's state for self-registering engines and whole configurations. */
export {type ConfigFault, findConfigFault, RouteTable} from './FleetConfigs';
export {
  applyNews,
  diffNews,
  isEmptyDelta,
  type NewsDelta,
  type NewsUpdate,
  sortLines,
} from './FleetDelta';
export {FleetHistory, type NumberedNews} from './FleetHistory';
export {fleetMachine, isNews} from './FleetMachine';
export type {
  EngineReport,
  FleetAnswer,
  FleetCommand,
  FleetConfig,
  FleetEngine,
  FleetLimits,
  FleetRoute,
  FleetService,
  FleetState,
  FleetStore,
  RouteKind,
  RouteShare,
} from './FleetTypes';
export {
  EMPTY_VIEW,
  engineOf,
  type EngineView,
  type EntryView,
  type FleetNews,
  type FleetRequest,
  type FleetView,
  type Hello,
  type JobsGroupReport,
  type KnownVersions,
  type RelayedHello,
  type RetireAnswer,
  type StoreView,
  takeAnswer,
  UNPROVEN_TERM,
  type WatchAnswer,
} from './FleetView';
