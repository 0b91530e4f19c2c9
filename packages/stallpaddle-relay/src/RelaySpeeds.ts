/**
 * What this VM observes of the speeds of engines.
 */
import type {Clock, EngineId, MonotonicMs} from 'stallpaddle';
import type {SpeedSample} from 'stallpaddle-capacity';
import type {EngineView} from 'stallpaddle-fleet';

import type {EngineIncarnation} from './RelayEngineHealth';

/** Minimum time between two reports, in milliseconds; they are part of messages that are sent anyway. */
const REPORT_INTERVAL_MS = 250;
/** Age at which observations that were not received are discarded, in milliseconds. */
const MAX_AGE_MS = 2_000;

/** Observations that are reported together. */
interface NumberedSamples {
  readonly at: MonotonicMs;
  readonly number: number;
  readonly samples: Readonly<Record<EngineId, SpeedSample>>;
}

/** Fields of a report of online requests. */
export interface SpeedsDetails {
  readonly speeds?: Readonly<Record<EngineId, SpeedSample>>;
  readonly speedsNumber?: number;
}

/** Dependencies on the process. */
export interface RelaySpeedsOptions {
  readonly clock: Clock;
  readonly engines: () => readonly EngineView[];
  /** Whether speeds are observed. */
  readonly isOn: () => boolean;
}

/** Sums of what was observed of one incarnation of an engine. */
interface EngineSums {
  events: number;
  firstMs: number;
  firsts: number;
  ms: number;
  readonly startedAtMs: number;
}

function sampleOf({events, firstMs, firsts, ms}: EngineSums): SpeedSample {
  return {events, firstMs: Math.round(firstMs), firsts, ms: Math.round(ms)};
}

/**
 * Sums what this VM observes until a report was answered. Observations that were sent stay unchanged until then and keep
 * their number, so that the dispatcher counts them once although an answer may be lost.
 */
export class RelaySpeeds {
  private isInReport = false;
  private number = 0;
  private readonly observed = new Map<EngineId, EngineSums>();
  private observedSince: MonotonicMs = 0;
  private reportedAt: MonotonicMs = -Infinity;
  private sent: NumberedSamples | undefined;

  /**
   * @param options dependencies on the process
   */
  constructor(private readonly options: RelaySpeedsOptions) {}

  /**
   * Adds events that arrived together.
   *
   * @param engine the engine's incarnation
   * @param events number of events
   * @param ms time since the events before, in milliseconds
   */
  addGap(engine: EngineIncarnation, events: number, ms: number): void {
    const sums = this.sumsOf(engine);
    if (sums !== undefined) {
      sums.events += events;
      sums.ms += ms;
    }
  }

  /**
   * Adds the first event of a stream whose engine had a free slot.
   *
   * @param engine the engine's incarnation
   * @param ms time since the request, in milliseconds
   */
  addFirst(engine: EngineIncarnation, ms: number): void {
    const sums = this.sumsOf(engine);
    if (sums !== undefined) {
      sums.firsts++;
      sums.firstMs += ms;
    }
  }

  /**
   * Observations for the next report; empty while none are due.
   *
   * @param isAnswered whether the report will be answered; others carry no observations
   */
  read(isAnswered: boolean): SpeedsDetails {
    const {clock, isOn} = this.options;
    const now = clock.monotonicMs();
    this.isInReport = false;
    if (!isAnswered || !isOn() || now - this.reportedAt < REPORT_INTERVAL_MS) {
      return {};
    }
    if (this.sent === undefined || now - this.sent.at > MAX_AGE_MS) {
      this.sent = this.takeObserved(now);
    }
    if (this.sent === undefined) {
      return {};
    }
    this.isInReport = true;
    this.reportedAt = now;
    return {speeds: this.sent.samples, speedsNumber: this.sent.number};
  }

  /** Forgets the observations of the latest report, which was answered. */
  onAnswer(): void {
    if (this.isInReport) {
      this.sent = undefined;
    }
  }

  /** Observations to send, at most one for each engine of the fleet; undefined if there are none. */
  private takeObserved(now: MonotonicMs): NumberedSamples | undefined {
    const isRecent = now - this.observedSince <= MAX_AGE_MS;
    const samples: Record<EngineId, SpeedSample> = {};
    for (const {id, startedAtMs} of isRecent ? this.options.engines() : []) {
      const sums = this.observed.get(id);
      if (sums?.startedAtMs === startedAtMs) {
        samples[id] = sampleOf(sums);
      }
    }
    this.observed.clear();
    return Object.keys(samples).length === 0
      ? undefined
      : {at: now, number: ++this.number, samples};
  }

  /** Sums of an engine; undefined while speeds are not observed. */
  private sumsOf({id, startedAtMs}: EngineIncarnation): EngineSums | undefined {
    if (!this.options.isOn()) {
      return undefined;
    }
    const known = this.observed.get(id);
    if (known?.startedAtMs === startedAtMs) {
      return known;
    }
    if (this.observed.size === 0) {
      this.observedSince = this.options.clock.monotonicMs();
    }
    const sums = {events: 0, firstMs: 0, firsts: 0, ms: 0, startedAtMs};
    this.observed.set(id, sums);
    return sums;
  }
}
