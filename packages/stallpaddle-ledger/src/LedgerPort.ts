/**
 * How other parts reach the ledger, wherever its leaders are.
 */
import type {CustomerId} from 'stallpaddle';
import type {BlobRef} from 'stallpaddle-storage';

import type {LedgerQuery, LedgerReply} from './LedgerQueries';
import type {LedgerAnswer, LedgerCommand} from './LedgerTypes';

/** One shard. */
export interface LedgerPort {
  /**
   * Applies a command; resolves once a majority has it on disk.
   *
   * @throws {RefusalError} `unavailable` when no leader takes it in time; the verdict is
   * `mayHaveRun` when it may still be committed
   */
  readonly command: (command: LedgerCommand) => Promise<LedgerAnswer>;
  /** Asks the leader. */
  readonly query: <Type extends LedgerQuery['type']>(
    query: Extract<LedgerQuery, {type: Type}>,
  ) => Promise<Extract<LedgerReply, {type: Type}>>;
  /** Reads bulk data from any replica. */
  readonly readBlob: (ref: BlobRef) => Promise<Uint8Array>;
}

/** All shards. */
export interface LedgerPorts {
  readonly all: readonly LedgerPort[];
  /** The shard that holds all of a customer's. */
  readonly forCustomer: (customer: CustomerId) => LedgerPort;
}
