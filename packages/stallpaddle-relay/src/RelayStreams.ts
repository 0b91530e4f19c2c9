/**
 * Software that began streams, by the caller's first attempt. A stream goes on only at the software version that began it,
 * and its caller may take it up again at any VM.
 */
import type {MonotonicMs} from 'stallpaddle';
import type {EngineSoftware, FleetRoute} from 'stallpaddle-fleet';

/** Which software began a stream. */
export interface StreamRecord {
  /** Id of the caller's attempt that brought the first event. */
  readonly firstAttempt: string;
  readonly software: EngineSoftware;
}

/**
 * Software in the record of a stream whose engine could not be confirmed. No engine has it, and VMs of earlier releases read
 * it as a version that has left, so that they don't resume the stream either.
 */
export const UNCONFIRMED_SOFTWARE: EngineSoftware = {service: '', softwareVersion: '\0'};

/** Remembers the software that began streams, across the VMs of a fleet. */
export interface RelayStreams {
  /**
   * Finds the software that began a stream.
   *
   * @param firstAttempt attempt that brought its first event; null if the caller doesn't name it
   * @param route route of the stream
   * @returns undefined when it is unknown
   */
  readonly find: (
    firstAttempt: null | string,
    route: FleetRoute,
  ) => Promise<EngineSoftware | undefined>;
  /** Records a stream. */
  readonly record: (record: StreamRecord) => void;
  /** Records a stream whose engine is still being confirmed; a caller that returns meanwhile waits for the outcome. */
  readonly recordLater: (firstAttempt: string, record: Promise<StreamRecord>) => void;
}

/** Most records that a VM keeps; the oldest are dropped first. */
const MAX_RECORDS = 100_000;

interface TimedRecord extends StreamRecord {
  readonly at: MonotonicMs;
}

/** Streams that a VM has begun or holds for others. */
export class RelayStreamRecords {
  /** By first attempt, the oldest first. */
  private readonly records = new Map<string, TimedRecord>();

  /**
   * @param lifeMs time for which a stream may come back, in milliseconds
   */
  constructor(private readonly lifeMs: () => number) {}

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Adds a record, or renews it.
   *
   * @param record the record
   * @param now the current time
   */
  add(record: StreamRecord, now: MonotonicMs): void {
    this.records.delete(record.firstAttempt);
    this.records.set(record.firstAttempt, {...record, at: now});
    this.dropOld(now);
  }

  /**
   * Finds the software that began a stream.
   *
   * @param firstAttempt attempt that brought its first event
   * @param now the current time
   */
  find(firstAttempt: string, now: MonotonicMs): EngineSoftware | undefined {
    const record = this.records.get(firstAttempt);
    return record === undefined || this.isOld(record, now) ? undefined : record.software;
  }

  /**
   * All streams that may still come back.
   *
   * @param now the current time
   */
  all(now: MonotonicMs): readonly StreamRecord[] {
    this.dropOld(now);
    return [...this.records.values()].map(({firstAttempt, software}) => ({firstAttempt, software}));
  }

  private isOld({at}: TimedRecord, now: MonotonicMs): boolean {
    return now - at > this.lifeMs();
  }

  private dropOld(now: MonotonicMs): void {
    for (const [firstAttempt, record] of this.records) {
      if (this.records.size <= MAX_RECORDS && !this.isOld(record, now)) {
        return;
      }
      this.records.delete(firstAttempt);
    }
  }
}
