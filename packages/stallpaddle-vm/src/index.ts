/** One VM process: all parts put together. */
export {Vm} from './Vm';
export {type FleetStatus, type ReplicaStatus} from './VmStatus';
