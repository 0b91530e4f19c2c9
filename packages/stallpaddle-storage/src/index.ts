/** Durable files: checksummed logs, snapshots and bulk data. */
export {BLOB_SEGMENT_BYTES, type BlobRef, placeBlob, StorageBlobs} from './StorageBlobs';
export {type Disk, type DiskFile, openDisk, replaceFile} from './StorageDisk';
export {CorruptionError} from './StorageErrors';
export {isLogName, type OpenedLog, StorageLog} from './StorageLog';
export {
  checksum,
  type DecodedRecord,
  decodeRecord,
  encodeRecord,
  RECORD_HEADER_BYTES,
  type RecordScan,
  scanRecords,
} from './StorageRecord';
export {readSnapshot, SNAPSHOT_FILE, writeSnapshot} from './StorageSnapshot';
