/**
 * Binary encoding of log commands, snapshots and messages between VMs.
 */
import {decode, encode} from '@msgpack/msgpack';

/**
 * Encodes a plain value; `Uint8Array` stays binary and `undefined` fields are dropped.
 *
 * @param value plain data
 */
export function encodeValue(value: unknown): Uint8Array {
  return encode(value, {ignoreUndefined: true});
}

/**
 * Decodes what {@link encodeValue} wrote. Only for bytes that one of our own processes wrote and
 * whose checksum or sender was checked before.
 *
 * @param bytes encoded value
 */
export function decodeValue<T>(bytes: Uint8Array): T {
  return decode(bytes) as T;
}
