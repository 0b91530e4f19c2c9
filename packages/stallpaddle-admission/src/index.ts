export {AdmissionGate, allowedFraction, type GateDecision} from './AdmissionGate';
export {AdmissionHeld} from './AdmissionHeld';
export {fairLevel, shareWeight, type WeightedDemand} from './AdmissionLevel';
/** Admission of online requests when slots are scarce: order, fair shares, rejection. Pure functions. */
export {
  type AdmissionQueue,
  dequeue,
  EMPTY_QUEUE,
  enqueue,
  type EnqueueResult,
  MAX_WAITING,
  type OrderState,
  putBack,
  removeFromQueue,
  requestInTurn,
  requestsAhead,
  type WaitingRequest,
  withoutShares,
} from './AdmissionQueue';
export {
  bookReturn,
  expectsReturns,
  MAX_RETURN_FRACTION,
  MIN_RETURN_MS,
  NO_BOOKINGS,
  planReturn,
  type Return,
  type ReturnBookings,
  type ReturnInput,
  returnsPerSecond,
} from './AdmissionReturn';
export {AdmissionShares, type ShareUse} from './AdmissionShares';
export type {DemandReport, RoomReport, SharesReport} from './AdmissionTypes';
export {AdmissionVmShares, type VmShareInputs} from './AdmissionVmShares';
export {
  EARLY_FRACTION,
  expectedWaitMs,
  rejectNow,
  type RejectReason,
  type WaitingState,
  type WaitInput,
  type WaitLimitInput,
  waitLimitMs,
} from './AdmissionWait';
