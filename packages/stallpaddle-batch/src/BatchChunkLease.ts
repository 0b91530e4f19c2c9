/**
 * Leased chunks and the outcomes of their items.
 */
import type {CustomerId} from 'stallpaddle';
import type {
  ChunkReport,
  ItemReport,
  LeasedChunk,
  LeaseToken,
  LedgerPort,
} from 'stallpaddle-ledger';

import type {BatchItem} from './BatchItems';

/** An item of a leased chunk that is ready to run or runs on an engine. */
export interface LeasedItem {
  readonly chunk: BatchChunkLease;
  readonly item: number;
  readonly losses: number;
  readonly parsed: BatchItem;
}

/** Tracks the open items of a leased chunk and the outcomes that are still to be reported to the ledger. */
export class BatchChunkLease {
  private unreported: ItemReport[] = [];
  private openItems: number;

  /**
   * @param port ledger shard of the chunk
   * @param leased the lease
   */
  constructor(
    readonly port: LedgerPort,
    readonly leased: LeasedChunk,
  ) {
    this.openItems = leased.items.length;
  }

  /** Fencing token of the lease. */
  get token(): LeaseToken {
    return this.leased.token;
  }

  /** Customer that owns the job. */
  get customer(): CustomerId {
    return this.leased.customer;
  }

  /** Whether there are outcomes to report to the ledger. */
  get hasReport(): boolean {
    return this.unreported.length > 0;
  }

  /** Whether every item has an outcome here, so that the chunk can be released. */
  get isIdle(): boolean {
    return this.openItems === 0;
  }

  /**
   * Records the outcome of an item.
   *
   * @param report the item's result, loss or return
   */
  recordOutcome(report: ItemReport): void {
    this.unreported.push(report);
    this.openItems--;
  }

  /**
   * Removes the unreported outcomes and returns a report of them.
   *
   * @param release whether the chunk is released, with all items that are still open
   */
  takeReport(release: boolean): ChunkReport {
    const items = this.unreported;
    this.unreported = [];
    const {chunk, jobId, token} = this.leased;
    return {chunk, items, jobId, release, token};
  }

  /**
   * Restores the outcomes of a report that could not be delivered.
   *
   * @param report from {@link takeReport}
   */
  restoreReport(report: ChunkReport): void {
    this.unreported = [...report.items, ...this.unreported];
  }
}
