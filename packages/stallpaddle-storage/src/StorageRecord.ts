/**
 * Framing of records in append-only files: sequence number, length and two CRC-32C checksums.
 *
 * Layout, little endian: magic u32, sequence u32, payload length u32, CRC of the payload u32, CRC of the preceding
 * sixteen bytes u32, payload.
 */
import crc32c from 'crc-32/crc32c.js';

import {CorruptionError} from './StorageErrors';

/** Size of the header before each payload, in bytes. */
export const RECORD_HEADER_BYTES = 20;

const MAGIC = 0x53_50_52_31;
const CHECKED_BYTES = 16;

/** A record with its offsets in the file. */
export interface DecodedRecord {
  readonly end: number;
  readonly payload: Uint8Array;
  readonly sequence: number;
  readonly start: number;
}

/** The valid records of a file. */
export interface RecordScan {
  readonly records: readonly DecodedRecord[];
  /** End of the last valid record; bytes after it are a torn write. */
  readonly validBytes: number;
}

/**
 * Computes the CRC-32C checksum of bytes.
 *
 * @param bytes content
 */
export function checksum(bytes: Uint8Array): number {
  return crc32c.buf(bytes, 0) >>> 0;
}

/**
 * Frames a payload.
 *
 * @param sequence index of the record in its file, from 0
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
 * Decodes the record at an offset; returns undefined if there is no complete, valid one.
 *
 * @param bytes a file's content
 * @param start offset of the record, in bytes
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
 * Decodes all records of a file. An invalid record at the end is a torn write and ends the scan. An invalid record with
 * a valid one after it had been synced, so it is reported as corruption.
 *
 * @param file name of the file, for the error
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
        throw new CorruptionError(file, at, `a valid record follows at byte ${later}`);
      }
      break;
    }
    records.push(record);
    at = record.end;
  }
  return {records, validBytes: at};
}
