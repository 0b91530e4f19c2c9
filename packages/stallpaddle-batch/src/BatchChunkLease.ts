/**
 * Chunks that this VM holds, and what became of their items.
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

/** An item that waits here or runs at an engine. */
export interface LeasedItem {
  readonly chunk: BatchChunkLease;
  readonly item: number;
  readonly losses: number;
  readonly parsed: BatchItem;
}

/** A chunk under this VM's lease. */
export class BatchChunkLease {
  private ended: ItemReport[] = [];
  private open: number;

  /**
   * @param port shard that leased it
   * @param leased the lease
   */
  constructor(
    readonly port: LedgerPort,
    readonly leased: LeasedChunk,
  ) {
    this.open = leased.items.length;
  }

  /** Fencing number of the lease. */
  get token(): LeaseToken {
    return this.leased.token;
  }

  /** Whose job it belongs to. */
  get customer(): CustomerId {
    return this.leased.customer;
  }

  /** Whether there is something to tell the ledger. */
  get hasReport(): boolean {
    return this.ended.length > 0;
  }

  /** Whether this VM has nothing left to do for the chunk but to report. */
  get isIdle(): boolean {
    return this.open === 0;
  }

  /**
   * Notes what became of an item here.
   *
   * @param report its end, loss or return
   */
  note(report: ItemReport): void {
    this.ended.push(report);
    this.open--;
  }

  /**
   * Takes the report to send now.
   *
   * @param release give the chunk back with whatever is open
   */
  takeReport(release: boolean): ChunkReport {
    const items = this.ended;
    this.ended = [];
    const {chunk, jobId, token} = this.leased;
    return {chunk, items, jobId, release, token};
  }

  /**
   * Puts a report back that could not be delivered.
   *
   * @param report from {@link takeReport}
   */
  restoreReport(report: ChunkReport): void {
    this.ended = [...report.items, ...this.ended];
  }
}
