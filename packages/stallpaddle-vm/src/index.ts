/** The VM process. */
export {Vm} from './Vm';
export {type FleetStatus, type ReplicaStatus} from './VmStatus';
