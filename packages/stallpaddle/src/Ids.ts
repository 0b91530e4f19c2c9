/**
 * Identifier types, and generation of random identifiers.
 */
import {randomBytes} from 'node:crypto';

/** A VM of the serving system, as named in its settings. */
export type VmId = string;
/** An availability zone, as named in the settings. */
export type ZoneId = string;
/** A customer, as named in the settings. */
export type CustomerId = string;
/** A backend server: a model engine or a server of a plain service. */
export type EngineId = string;
/** A replication group: one replicated log and its state machine. */
export type GroupId = string;
/** A replica, in the form `vm/incarnation`; a new disk is a new incarnation. */
export type ReplicaId = string;

const ID_BYTES = 12;

/**
 * Generates a random identifier that is unique across processes.
 *
 * @param prefix kind of the identified object, such as `batch`
 */
export function generateId(prefix: string): string {
  return `${prefix}_${randomBytes(ID_BYTES).toString('hex')}`;
}

/**
 * Returns the VM of a replica.
 *
 * @param replica identifier of the form `vm/incarnation`
 */
export function vmOfReplica(replica: ReplicaId): VmId {
  return replica.slice(0, replica.lastIndexOf('/'));
}
