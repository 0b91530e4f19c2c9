/**
 * Names of things, and how random ones are drawn.
 */
import {randomBytes} from 'node:crypto';

/** A VM of the serving system, as named in its settings. */
export type VmId = string;
/** An availability zone, as named in the settings. */
export type ZoneId = string;
/** A customer, as named in the settings. */
export type CustomerId = string;
/** A backend server: a model engine or a plain service's server. */
export type EngineId = string;
/** A replicated log and its state machine. */
export type GroupId = string;
/** One disk's life as a replica: `vm/incarnation`. */
export type ReplicaId = string;

const ID_BYTES = 12;

/**
 * Draws an identifier that no other process will draw.
 *
 * @param prefix what the identifier names, such as `batch`
 */
export function generateId(prefix: string): string {
  return `${prefix}_${randomBytes(ID_BYTES).toString('hex')}`;
}

/**
 * The VM part of a replica's name.
 *
 * @param replica name of the form `vm/incarnation`
 */
export function vmOfReplica(replica: ReplicaId): VmId {
  return replica.slice(0, replica.lastIndexOf('/'));
}
