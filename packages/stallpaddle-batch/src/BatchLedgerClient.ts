/**
 * Lease and report commands to a ledger shard.
 */
import type {Clock, Logger, MonotonicMs, VmId} from 'stallpaddle';
import type {LedgerPort} from 'stallpaddle-ledger';

import {errorMessage} from 'stallpaddle';

import type {LeasedItem} from './BatchChunkLease';

import {BatchChunkLease} from './BatchChunkLease';
import {BATCH_LEASE_MS} from './BatchConstants';
import {parseItem} from './BatchItems';

/** Leases chunks from one ledger shard, renews the leases and reports the outcomes of items. */
export class BatchLedgerClient {
  private readonly leases = new Map<number, BatchChunkLease>();
  private leasing = false;
  private reporting = false;
  private renewedAt: MonotonicMs = -Infinity;
  private reported = 0;

  /**
   * @param vm this VM
   * @param port the ledger shard
   * @param clock monotonic and wall clock
   * @param logger logs failed calls and reports
   */
  constructor(
    private readonly vm: VmId,
    private readonly port: LedgerPort,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Number of leased chunks. */
  get leaseCount(): number {
    return this.leases.size;
  }

  /** Number of item reports that the ledger has received. */
  get reportedItems(): number {
    return this.reported;
  }

  /**
   * Leases chunks and reads their items.
   *
   * @param models models that this VM's engines can run
   * @param maxItems largest number of items to lease
   * @returns items to run; none if another lease call is in progress or no items wait
   */
  async lease(models: readonly string[], maxItems: number): Promise<readonly LeasedItem[]> {
    if (this.leasing || models.length === 0) {
      return [];
    }
    this.leasing = true;
    try {
      const answer = await this.port.command({
        leaseMs: BATCH_LEASE_MS,
        maxItems,
        models,
        now: this.clock.wallMs(),
        type: 'lease',
        vm: this.vm,
      });
      if (answer.kind !== 'leased') {
        return [];
      }
      const chunks = answer.chunks.map((leased) => new BatchChunkLease(this.port, leased));
      chunks.forEach((chunk) => this.leases.set(chunk.token, chunk));
      const items = await Promise.all(chunks.map((chunk) => this.readItems(chunk)));
      return items.flat();
    } catch (err) {
      this.logger.warn('A lease call failed.', {reason: errorMessage(err)});
      return [];
    } finally {
      this.leasing = false;
    }
  }

  /**
   * Returns whether this VM still has the lease of a chunk.
   *
   * @param chunk the chunk
   */
  holds(chunk: BatchChunkLease): boolean {
    return this.leases.has(chunk.token);
  }

  /**
   * Sends unreported outcomes and due renewals in one command.
   *
   * @param release whether to release all leases
   * @returns tokens of revoked leases
   */
  async report(release: boolean): Promise<readonly number[]> {
    if (this.reporting) {
      return [];
    }
    const now = this.clock.monotonicMs();
    const renew = now - this.renewedAt >= BATCH_LEASE_MS / 4;
    const chunks = [...this.leases.values()].filter(
      (chunk) => release || chunk.hasReport || chunk.isIdle,
    );
    if (chunks.length === 0 && !(renew && this.leases.size > 0)) {
      return [];
    }
    this.reporting = true;
    const reports = chunks.map((chunk) => chunk.takeReport(release || chunk.isIdle));
    const released = new Set(reports.filter((report) => report.release).map(({token}) => token));
    const tokens = renew ? [...this.leases.keys()].filter((token) => !released.has(token)) : [];
    try {
      const answer = await this.port.command({
        leaseMs: BATCH_LEASE_MS,
        now: this.clock.wallMs(),
        renew: tokens,
        reports,
        type: 'report',
        vm: this.vm,
      });
      this.renewedAt = renew ? now : this.renewedAt;
      this.reported += reports.reduce((sum, report) => sum + report.items.length, 0);
      released.forEach((token) => this.leases.delete(token));
      const revoked = answer.kind === 'reported' ? answer.revoked : [];
      revoked.forEach((token) => this.leases.delete(token));
      return revoked;
    } catch (err) {
      // The ledger may have applied the report; sending it again does no harm.
      this.logger.warn('A report failed and will be retried.', {reason: errorMessage(err)});
      chunks.forEach((chunk, index) => chunk.restoreReport(reports[index]!));
      return [];
    } finally {
      this.reporting = false;
    }
  }

  private async readItems(chunk: BatchChunkLease): Promise<readonly LeasedItem[]> {
    const lines = Buffer.from(await this.port.readBlob(chunk.leased.input))
      .toString()
      .split('\n');
    return chunk.leased.items.map(({item, losses}) => ({
      chunk,
      item,
      losses,
      parsed: parseItem(lines[item] ?? '', item + 1),
    }));
  }
}
