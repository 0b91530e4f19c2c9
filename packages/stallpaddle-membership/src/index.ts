/** Which VMs are there, which will stay, and which addresses callers get. */
export {
  ADDRESSES_TTL_MS,
  HEARTBEAT_INTERVAL_MS,
  MAX_CONFIG_AGE_MS,
  VM_LOST_AFTER_MS,
} from './MembershipConstants';
export type {
  Address,
  EngineLoadTuple,
  MembershipEvent,
  MembershipState,
  VmEntry,
  VmMetadata,
  VmUpdate,
} from './MembershipTypes';
export {
  activeVms,
  addressesFor,
  type CallerAddress,
  initialMembership,
  isLive,
  liveVms,
  lostVms,
  stepMembership,
  updatesSince,
} from './MembershipView';
