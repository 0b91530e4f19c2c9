/** Replicated ledger of batch jobs and of calls that must not run twice. Each item gets exactly one final status. */
export {CHUNK_BYTES, CHUNK_ITEMS, LEDGER_BUCKETS, MAX_ITEM_LOSSES} from './LedgerConstants';
export {finalItems} from './LedgerDraft';
export {hasExpiredLeases} from './LedgerLeases';
export type {LedgerPort, LedgerPorts} from './LedgerPort';
export {
  type FileView,
  type JobRefs,
  type JobView,
  type LedgerQuery,
  type LedgerReply,
  queryLedger,
} from './LedgerQueries';
export {EMPTY_LEDGER, ledgerMachine, updateLedger} from './LedgerShard';
export type {
  CallRecord,
  ChunkReport,
  FileChunk,
  ItemCounts,
  ItemEnd,
  ItemReport,
  LeasedChunk,
  LeaseToken,
  LedgerAnswer,
  LedgerCommand,
  LedgerCounters,
  LedgerFile,
  LedgerJob,
  LedgerRefusal,
  LedgerState,
  UploadedChunk,
} from './LedgerTypes';
export {shardOfCustomer} from './LedgerUtils';
