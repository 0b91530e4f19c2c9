/**
 * Speeds of engines, as entry VMs and batch items observe them.
 */
import type {Clock, EngineId, LogFields, MonotonicMs} from 'stallpaddle';
import type {FleetView} from 'stallpaddle-fleet';

import {
  CapacitySpeeds,
  type SpeedChange,
  speedClassOf,
  type SpeedSample,
} from 'stallpaddle-capacity';

import {JobsChangeLog} from './JobsChangeLog';

/** Minimum time between two computations of all speeds, in milliseconds; bounds their cost in large fleets. */
const UPDATE_INTERVAL_MS = 200;
/** Time for which the change of a removed engine is kept for VMs that have not heard of it, in milliseconds. */
const REMOVED_TTL_MS = 60_000;

/** Services of the process. */
export interface JobsSpeedsOptions {
  readonly clock: Clock;
  /** Logs that an engine's class has changed. */
  readonly decide: (engine: EngineId, fields: LogFields) => void;
  /** Whether speeds are learned. */
  readonly isOn: () => boolean;
  readonly view: () => FleetView;
}

/** Observations of one entry VM. */
export interface SpeedReport {
  /** Number of the observations, the same for a repetition; undefined if they are never repeated. */
  readonly number: number | undefined;
  readonly samples: Readonly<Record<EngineId, SpeedSample>>;
  readonly sender: string;
}

/** Latest report of a sender. */
interface KnownReport {
  readonly at: MonotonicMs;
  readonly number: number | undefined;
}

function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value * 100) / 100;
}

/** Learns the speeds of engines at the dispatcher. Without services it learns nothing, and all speeds are 1. */
export class JobsSpeeds {
  private readonly changes = new JobsChangeLog();
  private engines: FleetView['news']['engines'] | undefined;
  private options: JobsSpeedsOptions | undefined;
  private readonly removed = new Map<EngineId, MonotonicMs>();
  private readonly senders = new Map<string, KnownReport>();
  private readonly speeds = new CapacitySpeeds();
  private updatedAt: MonotonicMs = -Infinity;

  /** Rises with each change of a speed. */
  get version(): number {
    return this.changes.version;
  }

  /** Number of engines that are set apart because they are slow. */
  get setApart(): number {
    return this.speeds.setApart;
  }

  /**
   * Speeds of all engines of the fleet view.
   *
   * @returns the engines' ids with their speeds
   */
  all(): readonly (readonly [EngineId, number])[] {
    return (this.engines ?? []).map(({id}) => [id, this.of(id)]);
  }

  /**
   * Starts to learn.
   *
   * @param options services of the process
   */
  start(options: JobsSpeedsOptions): void {
    this.options = options;
  }

  /**
   * Adds an entry VM's observations. Those that were added before are ignored: their sender got no answer and repeats
   * them.
   *
   * @param report the observations
   */
  observe({number, samples, sender}: SpeedReport): void {
    const {options} = this;
    if (options?.isOn() !== true) {
      return;
    }
    const now = options.clock.monotonicMs();
    const known = this.senders.get(sender);
    this.senders.delete(sender);
    this.senders.set(sender, {at: now, number});
    this.syncEngines(options, now);
    if (number === undefined || known?.number !== number) {
      for (const [engine, sample] of Object.entries(samples)) {
        this.speeds.add(engine, sample, now);
      }
    }
    this.updateIfDue(options, now);
  }

  /**
   * Adds a gap between two events of a batch item.
   *
   * @param engine the engine
   * @param startedAtMs its incarnation; observations of an earlier one are ignored
   * @param ms the gap, in milliseconds
   */
  observeItem(engine: EngineId, startedAtMs: number, ms: number): void {
    const {options} = this;
    if (options?.isOn() !== true) {
      return;
    }
    const now = options.clock.monotonicMs();
    this.syncEngines(options, now);
    this.speeds.addFrom({id: engine, startedAtMs}, {events: 1, ms}, now);
    this.updateIfDue(options, now);
  }

  /**
   * Speed of an engine as a factor of its service's median; 1 while it is unknown.
   *
   * @param engine the engine
   */
  of(engine: EngineId): number {
    return this.options?.isOn() === true ? this.speeds.speedOf(engine) : 1;
  }

  /**
   * Speeds that have changed.
   *
   * @param version only changes after this version count; null for all speeds other than 1
   */
  since(version: null | number): Readonly<Record<EngineId, number>> {
    const engines =
      version === null ? this.speeds.unusual.map(({id}) => id) : this.changes.changedSince(version);
    return Object.fromEntries(engines.map((id) => [id, this.of(id)]));
  }

  /** Follows the fleet view: engines that were removed or restarted are unknown. */
  private syncEngines({view}: JobsSpeedsOptions, now: MonotonicMs): void {
    const {engines} = view().news;
    if (engines === this.engines) {
      return;
    }
    this.engines = engines;
    for (const id of this.speeds.replaceEngines(engines)) {
      this.changes.note(id);
    }
    const current = new Set(engines.map(({id}) => id));
    for (const id of this.changes.names()) {
      if (current.has(id)) {
        this.removed.delete(id);
      } else if (!this.removed.has(id)) {
        this.removed.set(id, now);
      }
    }
  }

  private updateIfDue(options: JobsSpeedsOptions, now: MonotonicMs): void {
    if (now - this.updatedAt < UPDATE_INTERVAL_MS) {
      return;
    }
    this.updatedAt = now;
    for (const change of this.speeds.update(now)) {
      this.changes.note(change.id);
      this.logChange(options, change, now);
    }
    this.removeExpired(now - REMOVED_TTL_MS);
  }

  private logChange(
    {decide}: JobsSpeedsOptions,
    {before, changesClass, id, medianMs, msPerEvent, observedAt, samples, speed}: SpeedChange,
    now: MonotonicMs,
  ): void {
    if (changesClass) {
      decide(id, {
        ageMs: observedAt === -Infinity ? undefined : Math.round(now - observedAt),
        before,
        class: speedClassOf(speed),
        medianMs: rounded(medianMs),
        msPerEvent: rounded(msPerEvent),
        samples,
        speed,
      });
    }
  }

  /** Forgets senders that report no more, and engines that were removed long ago. */
  private removeExpired(oldest: MonotonicMs): void {
    for (const [sender, {at}] of this.senders) {
      if (at >= oldest) {
        break;
      }
      this.senders.delete(sender);
    }
    for (const [id, at] of this.removed) {
      if (at < oldest) {
        this.removed.delete(id);
        this.changes.forget(id);
      }
    }
  }
}
