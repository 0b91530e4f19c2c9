/** Routing policy: placement, batch filling, limits, retries. Pure decisions only. */
export {
  type BatchAllowance,
  batchAllowance,
  type BatchStream,
  ownerOf,
  streamsToCancel,
} from './RoutingBatch';
export {NO_ENGINE_RETRY_MS} from './RoutingConstants';
export {
  type BucketAnswer,
  countRequest,
  FULL_RETRY_BUDGET,
  type RetryBudget,
  takeRetry,
  takeToken,
  type TokenBucket,
} from './RoutingLimits';
export {medianTokenMs, placeOnline, slowness} from './RoutingPlacement';
export {
  EMPTY_QUEUE,
  type FairQueue,
  joinQueue,
  type JoinResult,
  leaveQueue,
  type QueuedRequest,
  takeNext,
} from './RoutingQueue';
export type {
  EngineLoad,
  EngineOutcome,
  EngineSetup,
  EngineView,
  Placement,
  PlacementRequest,
  RoutingEvent,
  RoutingState,
  StreamChange,
  ToldStreams,
  WorkClass,
} from './RoutingTypes';
export {EMPTY_ROUTING, onlineStreams, stepRouting} from './RoutingView';
