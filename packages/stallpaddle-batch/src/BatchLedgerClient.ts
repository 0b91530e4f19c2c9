/**
 * A VM's dealings with one ledger shard: leases, renewals and reports, grouped.
 */
import type {Clock, Logger, MonotonicMs, VmId} from 'stallpaddle';
import type {LedgerPort} from 'stallpaddle-ledger';

import {errorMessage} from 'stallpaddle';

import type {LeasedItem} from './BatchChunkLease';

import {BatchChunkLease} from './BatchChunkLease';
import {BATCH_LEASE_MS} from './BatchConstants';
import {parseItem} from './BatchItems';

/** One shard as this VM deals with it. */
export class BatchLedgerClient {
  private readonly held = new Map<number, BatchChunkLease>();
  private leasing = false;
  private reporting = false;
  private renewedAt: MonotonicMs = -Infinity;
  private reported = 0;

  /**
   * @param vm this VM
   * @param port the shard
   * @param clock times
   * @param logger where failures go
   */
  constructor(
    private readonly vm: VmId,
    private readonly port: LedgerPort,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Chunks held now. */
  get heldCount(): number {
    return this.held.size;
  }

  /** Items whose ends the ledger has taken in. */
  get reportedItems(): number {
    return this.reported;
  }

  /**
   * Leases chunks and reads their items.
   *
   * @param models services that this VM can place on engines
   * @param maxItems how many items there is room for
   * @returns items to run, or none when another lease call is under way or nothing waits
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
      chunks.forEach((chunk) => this.held.set(chunk.token, chunk));
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
   * Whether a chunk is still this VM's.
   *
   * @param chunk the chunk
   */
  holds(chunk: BatchChunkLease): boolean {
    return this.held.has(chunk.token);
  }

  /**
   * Sends reports and due renewals in one command.
   *
   * @param release give everything back
   * @returns tokens of chunks that are no longer this VM's
   */
  async report(release: boolean): Promise<readonly number[]> {
    if (this.reporting) {
      return [];
    }
    const now = this.clock.monotonicMs();
    const renew = now - this.renewedAt >= BATCH_LEASE_MS / 4;
    const chunks = [...this.held.values()].filter(
      (chunk) => release || chunk.hasReport || chunk.isIdle,
    );
    if (chunks.length === 0 && !(renew && this.held.size > 0)) {
      return [];
    }
    this.reporting = true;
    const reports = chunks.map((chunk) => chunk.takeReport(release || chunk.isIdle));
    const given = new Set(reports.filter((report) => report.release).map(({token}) => token));
    const tokens = renew ? [...this.held.keys()].filter((token) => !given.has(token)) : [];
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
      given.forEach((token) => this.held.delete(token));
      const revoked = answer.kind === 'reported' ? answer.revoked : [];
      revoked.forEach((token) => this.held.delete(token));
      return revoked;
    } catch (err) {
      // Whether it was taken in or not, sending it again does no harm.
      this.logger.warn('A report failed and will be sent again.', {reason: errorMessage(err)});
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
