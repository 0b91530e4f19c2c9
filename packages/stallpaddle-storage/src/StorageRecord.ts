/**
 * Framing of records in append-only files: sequence number, length and two CRC-32C checksums.
 *
 * Layout, little endian: magic u32, sequence u32, length u32, CRC of the payload u32, CRC of the
 * sixteen bytes before u32, payload.
 */
import crc32c from 'crc-32/crc32c.js';

import {CorruptionError} from './StorageErrors';

/** Bytes before each payload. */
export const RECORD_HEADER_BYTES = 20;

const MAGIC = 0x53_50_52_31;
const CHECKED_BYTES = 16;

/** A payload and where its record lies. */
export interface DecodedRecord {
  readonly end: number;
  readonly payload: Uint8Array;
  readonly sequence: number;
  readonly start: number;
}

/** What a file holds up to its last whole record. */
export interface RecordScan {
  readonly records: readonly DecodedRecord[];
  /** Where the next record goes; bytes after it are a torn write. */
  readonly validBytes: number;
}

/**
 * CRC-32C of bytes.
 *
 * @param bytes content
 */
export function checksum(bytes: Uint8Array): number {
  return crc32c.buf(bytes, 0) >>> 0;
}

/**
 * Frames a payload.
 *
 * @param sequence the record's number in its file, from 0
 * @param payload content
 */
export function encodeRecord(sequence: number, payload: Uint8Array): Uint8Array {
  const record = new Uint8Array(RECORD_HEADER_BYTES + payload.length);
  const view = new DataView(record.buffer);
  view.setUint32(0, MAGIC, true);
  view.setUint32(4, sequence >>> 0, true);
  view.setUint32(8, payload.length, true);
  view.setUint32(12, checksum(payload), true);
  view.setUint32(CHECKED_BYTES, checksum(record.subarray(0, CHECKED_BYTES)), true);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/**
 * Reads the record at an offset; undefined when none stands there whole and sound.
 *
 * @param bytes a file's content
 * @param start offset in bytes
 */
export function decodeRecord(bytes: Uint8Array, start: number): DecodedRecord | undefined {
  if (start + RECORD_HEADER_BYTES > bytes.length) {
    return undefined;
  }
  const view = new DataView(bytes.buffer, bytes.byteOffset + start, RECORD_HEADER_BYTES);
  const header = bytes.subarray(start, start + CHECKED_BYTES);
  if (
    view.getUint32(0, true) !== MAGIC ||
    view.getUint32(CHECKED_BYTES, true) !== checksum(header)
  ) {
    return undefined;
  }
  const end = start + RECORD_HEADER_BYTES + view.getUint32(8, true);
  const payload = bytes.subarray(start + RECORD_HEADER_BYTES, end);
  if (end > bytes.length || checksum(payload) !== view.getUint32(12, true)) {
    return undefined;
  }
  return {end, payload, sequence: view.getUint32(4, true), start};
}

function findLaterRecord(bytes: Uint8Array, from: number, sequence: number): number | undefined {
  const magic = Buffer.alloc(4);
  magic.writeUInt32LE(MAGIC);
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  let at = buffer.indexOf(magic, from);
  while (at >= 0) {
    const record = decodeRecord(bytes, at);
    if (record !== undefined && record.sequence > sequence) {
      return at;
    }
    at = buffer.indexOf(magic, at + 1);
  }
  return undefined;
}

/**
 * Reads all records of a file. A bad record with none after it is a write that a crash tore, and
 * ends the scan; a bad one with a sound one after it was synced before, and is an error.
 *
 * @param file the file's name, for the error
 * @param bytes its content
 */
export function scanRecords(file: string, bytes: Uint8Array): RecordScan {
  const records: DecodedRecord[] = [];
  let at = 0;
  while (at < bytes.length) {
    const record = decodeRecord(bytes, at);
    if (record === undefined || record.sequence !== records.length) {
      const later = findLaterRecord(bytes, at, records.length);
      if (later !== undefined) {
        throw new CorruptionError(file, at, `a sound record follows at byte ${later}`);
      }
      break;
    }
    records.push(record);
    at = record.end;
  }
  return {records, validBytes: at};
}
