/** Routing policy for online and batch work: placement, batch limits and retries. All functions are pure. */
export {
  type BatchAllowance,
  batchAllowance,
  type BatchStream,
  ownerOf,
  streamsToCancel,
} from './RoutingBatch';
export {NO_ENGINE_RETRY_MS} from './RoutingConstants';
export {medianTokenMs, placeOnline, slowness} from './RoutingPlacement';
export {countRequest, FULL_RETRY_BUDGET, type RetryBudget, takeRetry} from './RoutingRetries';
export type {
  EngineLoad,
  EngineOutcome,
  EngineSetup,
  EngineView,
  Placement,
  PlacementRequest,
  ReportedStreams,
  RoutingEvent,
  RoutingState,
  StreamChange,
  WorkClass,
} from './RoutingTypes';
export {EMPTY_ROUTING, onlineStreams, stepRouting} from './RoutingView';
