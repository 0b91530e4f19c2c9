/**
 * MessagePack encoding of log commands, snapshots and messages between VMs.
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
 * Decodes the output of {@link encodeValue}. The type isn't validated: use it only for bytes written by a process of
 * this system whose checksum or sender has been verified.
 *
 * @param bytes encoded value
 */
export function decodeValue<T>(bytes: Uint8Array): T {
  return decode(bytes) as T;
}
