/**
 * Reference model of the ledger for randomized tests.
 */
import type {ItemEnd, LedgerCommand} from '../../LedgerTypes';

interface NaiveItem {
  chunk: number;
  end: ItemEnd | null;
  item: number;
  line: string | null;
  losses: number;
  started: boolean;
}

interface NaiveJob {
  cancelled: boolean;
  readonly customer: string;
  readonly items: NaiveItem[];
  readonly repeatable: boolean;
}

interface NaiveLease {
  readonly chunk: number;
  readonly jobId: string;
  until: number;
  readonly vm: string;
}

/** Keeps one plain record per item, without packing, cursors or indexes, to compare the real ledger with. */
export class NaiveLedger {
  readonly jobs = new Map<string, NaiveJob>();
  readonly keys = new Map<string, {readonly content: string; readonly jobId: string}>();
  readonly leases = new Map<number, NaiveLease>();

  /** Adds a job whose file has chunks of the given sizes. */
  create(command: Extract<LedgerCommand, {type: 'createJob'}>, chunks: readonly number[]): string {
    const name = `${command.customer}/${command.key}`;
    const existing = command.key === null ? undefined : this.keys.get(name);
    if (existing !== undefined) {
      return existing.content === command.content ? existing.jobId : 'refused';
    }
    const items = chunks.flatMap((count, chunk) =>
      Array.from({length: count}, (_, item) => ({
        chunk,
        end: null,
        item,
        line: null,
        losses: 0,
        started: false,
      })),
    );
    const {customer, jobId, repeatable} = command;
    this.jobs.set(jobId, {cancelled: false, customer, items, repeatable});
    if (command.key !== null) {
      this.keys.set(name, {content: command.content, jobId});
    }
    return jobId;
  }

  /** Records a lease that the real ledger granted; returns whether it was allowed to grant it. */
  grant(jobId: string, chunk: number, token: number, vm: string, until: number): boolean {
    const job = this.jobs.get(jobId)!;
    const held = [...this.leases.values()].some(
      (lease) => lease.jobId === jobId && lease.chunk === chunk,
    );
    const open = this.itemsOf(jobId, chunk).some(({end}) => end === null);
    const fresh = [...this.leases.keys()].every((known) => known < token);
    this.leases.set(token, {chunk, jobId, until, vm});
    return !held && open && fresh && !job.cancelled;
  }

  /** Applies a chunk report; returns false when the lease is no longer valid. */
  report(report: Extract<LedgerCommand, {type: 'report'}>['reports'][number]): boolean {
    const lease = this.leases.get(report.token);
    if (lease === undefined || lease.jobId !== report.jobId || lease.chunk !== report.chunk) {
      return false;
    }
    const job = this.jobs.get(lease.jobId)!;
    const items = this.itemsOf(lease.jobId, lease.chunk);
    for (const {item, kind, line} of report.items) {
      const found = items.find((one) => one.item === item);
      if (found === undefined || found.end !== null) {
        continue;
      }
      if (kind === 'returned') {
        found.started = false;
      } else if (kind === 'lost' && !job.repeatable && found.started) {
        found.end = 'mayHaveRun';
        found.line = line;
      } else if (kind === 'lost') {
        found.losses++;
        found.started = false;
        if (found.losses >= 3) {
          found.end = 'failed';
          found.line = line;
        }
      } else {
        found.end = kind;
        found.line = line;
      }
    }
    if (report.release || items.every(({end}) => end !== null)) {
      this.endLease(report.token);
    }
    return true;
  }

  /** Marks items as started; returns those that may be sent. */
  start(token: number, items: readonly number[]): readonly number[] {
    const lease = this.leases.get(token);
    if (lease === undefined) {
      return [];
    }
    const found = this.itemsOf(lease.jobId, lease.chunk).filter(
      ({end, item}) => end === null && items.includes(item),
    );
    found.forEach((item) => {
      item.started = true;
    });
    return items.filter((item) => found.some((one) => one.item === item));
  }

  /** Ends every expired lease. */
  expire(now: number): void {
    for (const [token, lease] of this.leases) {
      if (lease.until <= now) {
        this.endLease(token);
      }
    }
  }

  cancel(jobId: string): void {
    const job = this.jobs.get(jobId);
    if (job === undefined || job.cancelled || job.items.every(({end}) => end !== null)) {
      return;
    }
    job.cancelled = true;
    job.items
      .filter(({end}) => end === null)
      .forEach((item) => {
        item.end = 'cancelled';
      });
    for (const [token, lease] of this.leases) {
      if (lease.jobId === jobId) {
        this.leases.delete(token);
      }
    }
  }

  private itemsOf(jobId: string, chunk: number): readonly NaiveItem[] {
    return this.jobs.get(jobId)!.items.filter((item) => item.chunk === chunk);
  }

  private endLease(token: number): void {
    const {chunk, jobId} = this.leases.get(token)!;
    this.leases.delete(token);
    for (const item of this.itemsOf(jobId, chunk)) {
      if (item.end === null && item.started) {
        item.end = 'mayHaveRun';
      }
    }
  }
}
