/**
 * Access to the ledger's shards, independent of which VMs lead them.
 */
import type {CustomerId} from 'stallpaddle';
import type {BlobRef} from 'stallpaddle-storage';

import type {LedgerQuery, LedgerReply} from './LedgerQueries';
import type {LedgerAnswer, LedgerCommand} from './LedgerTypes';

/** Access to one shard. */
export interface LedgerPort {
  /**
   * Applies a command; resolves once a majority has it on disk.
   *
   * @throws {RefusalError} `unavailable` when no leader accepts it in time; the verdict is `mayHaveRun` when it may
   * still be committed
   */
  readonly command: (command: LedgerCommand) => Promise<LedgerAnswer>;
  /** Runs a query on the leader. */
  readonly query: <Type extends LedgerQuery['type']>(
    query: Extract<LedgerQuery, {type: Type}>,
  ) => Promise<Extract<LedgerReply, {type: Type}>>;
  /** Reads a blob from any replica. */
  readonly readBlob: (ref: BlobRef) => Promise<Uint8Array>;
}

/** Access to all shards. */
export interface LedgerPorts {
  readonly all: readonly LedgerPort[];
  /** The shard that holds all data of a customer. */
  readonly forCustomer: (customer: CustomerId) => LedgerPort;
}
