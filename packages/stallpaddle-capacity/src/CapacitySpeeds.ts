/**
 * Speeds of engines against the median of their service.
 */
import type {SpeedSample} from './CapacityTypes';

import {isSetApart, SET_APART_SPEED} from './CapacitySlotTimes';
import {CapacitySpeedMeter, type SpeedWindow} from './CapacitySpeedMeter';

/** An engine whose speed is learned. */
export interface SpeedEngine {
  readonly id: string;
  readonly service: string;
  /** Names its incarnation: after a restart its speed is unknown. */
  readonly startedAtMs: number;
}

/** Bounds of the speeds that are told. */
const MIN_SPEED = 0.1;
const MAX_SPEED = 4;
/** Speeds within these bounds count as 1. */
const USUAL_FROM = 0.8;
const USUAL_TO = 1.25;
/** Margin by which a speed must pass one of these bounds, so that one near a bound doesn't alternate. */
const MARGIN = 1.06;
/** Ratio by which a speed must change to be told anew, because each change is sent to all VMs. */
const TOLD_RATIO = 1.1;
/** Highest speed that is told for an engine that is set apart. */
const MAX_SET_APART_SPEED = 0.34;
/**
 * Time between observations for which an engine must be slow to be set apart, in milliseconds. Observations arrive up to
 * 250 ms late, so the engine was then slow for a second at least: 1.05 to 1.5 s in a model, most of them 1.2 s.
 */
const SET_APART_AFTER_MS = 800;
/** Largest part of a service's engines that is set apart at once. */
const MAX_SET_APART_FRACTION = 1 / 4;
/** Speed from which on an engine that is set apart is fast again. */
const RETURN_SPEED = 0.45;
/** Time for which it must be fast again, in milliseconds. */
const RETURN_AFTER_MS = 400;
/** Age without observations at which an engine that is set apart is tried again, in milliseconds. */
const SET_APART_TTL_MS = 5_000;
/** Age without observations at which a speed is unknown again, in milliseconds. */
const SPEED_TTL_MS = 60_000;
/** Part of a service's engines that must be known before there is a median. */
const MIN_KNOWN_FRACTION = 1 / 4;

/** How an engine compares with its service. */
export type SpeedClass = 'fast' | 'setApart' | 'slow' | 'usual';

/** A change of an engine's speed. */
export interface SpeedChange {
  readonly before: number;
  /** Whether the engine's class has changed; otherwise only the factor has. */
  readonly changesClass: boolean;
  readonly id: string;
  /** Milliseconds for each event; undefined for an unknown engine. */
  readonly msPerEvent: number | undefined;
  /** Median of the service; undefined while it is unknown. */
  readonly medianMs: number | undefined;
  /** Time of the latest observation. */
  readonly observedAt: number;
  /** Gaps that the estimate is based on. */
  readonly samples: number;
  readonly speed: number;
}

interface EngineState {
  readonly engine: SpeedEngine;
  /** Start of the windows at normal speed, since which an engine that is set apart is fast again. */
  fastSince: number | undefined;
  isSetApart: boolean;
  /** End of the latest window. */
  lastWindowAt: number;
  readonly meter: CapacitySpeedMeter;
  /**
   * Middle of the first of the latest windows, if all of these were below the speed of engines that are set apart.
   */
  slowSince: number | undefined;
  speed: number;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/**
 * Class of a speed as it is told.
 *
 * @param speed the speed
 */
export function speedClassOf(speed: number): SpeedClass {
  if (isSetApart(speed)) {
    return 'setApart';
  }
  return speed < 1 ? 'slow' : speed > 1 ? 'fast' : 'usual';
}

/** Speed to tell; the one told before is kept while the difference is small. */
function toldSpeed(measured: number, before: number): number {
  // Entering the usual range takes a margin, as leaving it does.
  const [from, to] =
    before === 1
      ? [USUAL_FROM / MARGIN, USUAL_TO * MARGIN]
      : [USUAL_FROM * MARGIN, USUAL_TO / MARGIN];
  if (measured >= from && measured <= to) {
    return 1;
  }
  const ratio = measured / before;
  const isSame = before !== 1 && ratio < TOLD_RATIO && ratio > 1 / TOLD_RATIO;
  return isSame ? before : Math.round(measured * 100) / 100;
}

/**
 * Median of positive numbers; the geometric mean of the two middle ones, so that one of two engines is as fast as the
 * other one is slow.
 */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length / 2;
  return Math.sqrt(sorted[Math.ceil(middle) - 1]! * sorted[Math.floor(middle)]!);
}

function newState(engine: SpeedEngine): EngineState {
  return {
    engine,
    fastSince: undefined,
    isSetApart: false,
    lastWindowAt: -Infinity,
    meter: new CapacitySpeedMeter(),
    slowSince: undefined,
    speed: 1,
  };
}

function isExpired({isSetApart: isApart, meter}: EngineState, now: number): boolean {
  const ttlMs = isApart ? SET_APART_TTL_MS : SPEED_TTL_MS;
  return meter.observedAt > -Infinity && now - meter.observedAt > ttlMs;
}

/** Median of a service; undefined while too few of its engines are known. */
function serviceMedian(states: readonly EngineState[]): number | undefined {
  const known = states.flatMap(({meter}) => meter.msPerEvent ?? []);
  return known.length === 0 || known.length < states.length * MIN_KNOWN_FRACTION
    ? undefined
    : medianOf(known);
}

/** Milliseconds for each event; the least for engines that are unknown. */
function slownessOf({meter}: EngineState): number {
  return meter.msPerEvent ?? 0;
}

/**
 * Sets apart engines that were slow for long enough, the slowest first. When so many other engines have left that too many
 * are set apart, the least slow ones return.
 */
function setSlowApart(states: readonly EngineState[], now: number): void {
  const apart = states.filter((state) => state.isSetApart);
  const room = Math.floor(states.length * MAX_SET_APART_FRACTION) - apart.length;
  apart.sort((a, b) => slownessOf(a) - slownessOf(b));
  for (const state of apart.slice(0, Math.max(0, -room))) {
    state.isSetApart = false;
  }
  const slow = states.filter(
    ({isSetApart: isApart, meter, slowSince}) =>
      !isApart && meter.observedAt - (slowSince ?? now) >= SET_APART_AFTER_MS,
  );
  slow.sort((a, b) => slownessOf(b) - slownessOf(a));
  for (const state of slow.slice(0, Math.max(0, room))) {
    state.isSetApart = true;
    state.fastSince = undefined;
  }
}

/** Speed of an engine that is to be told. */
function nextSpeed(
  {isSetApart: isApart, meter, speed}: EngineState,
  medianMs: number | undefined,
): number {
  const {msPerEvent} = meter;
  const measured =
    medianMs === undefined || msPerEvent === undefined
      ? 1
      : clamp(medianMs / msPerEvent, MIN_SPEED, MAX_SPEED);
  return isApart
    ? Math.min(MAX_SET_APART_SPEED, toldSpeed(Math.min(MAX_SET_APART_SPEED, measured), speed))
    : Math.max(SET_APART_SPEED, toldSpeed(measured, speed));
}

/** Updates the speed of an engine; returns the change, if any. */
function updateSpeed(state: EngineState, medianMs: number | undefined): SpeedChange | undefined {
  const {engine, meter, speed: before} = state;
  const speed = nextSpeed(state, medianMs);
  state.speed = speed;
  return speed === before
    ? undefined
    : {
        before,
        changesClass: speedClassOf(before) !== speedClassOf(speed),
        id: engine.id,
        medianMs,
        msPerEvent: meter.msPerEvent,
        observedAt: meter.observedAt,
        samples: meter.samples,
        speed,
      };
}

/** Learns the speeds of engines, and sets apart those that are much slower than the others of their service. */
export class CapacitySpeeds {
  private readonly engines = new Map<string, EngineState>();
  /** Milliseconds for each event, by service. */
  private medians: ReadonlyMap<string, number> = new Map();

  /** Number of engines that are set apart. */
  get setApart(): number {
    return [...this.engines.values()].filter((state) => state.isSetApart).length;
  }

  /** Engines whose speed differs from 1. */
  get unusual(): readonly {readonly id: string; readonly speed: number}[] {
    return [...this.engines.values()]
      .filter(({speed}) => speed !== 1)
      .map(({engine, speed}) => ({id: engine.id, speed}));
  }

  /**
   * Speed of an engine as a factor of its service's median; 1 while it is unknown.
   *
   * @param id the engine
   */
  speedOf(id: string): number {
    return this.engines.get(id)?.speed ?? 1;
  }

  /**
   * Replaces the list of engines; removed and restarted ones are forgotten.
   *
   * @param engines all engines of the fleet
   * @returns engines that had another speed than 1 and are unknown now
   */
  replaceEngines(engines: readonly SpeedEngine[]): readonly string[] {
    const current = new Map(engines.map((engine) => [engine.id, engine]));
    const forgotten: string[] = [];
    for (const [id, {engine, speed}] of this.engines) {
      const now = current.get(id);
      if (now?.startedAtMs !== engine.startedAtMs || now.service !== engine.service) {
        this.engines.delete(id);
        forgotten.push(...(speed === 1 ? [] : [id]));
      }
    }
    for (const engine of engines) {
      if (!this.engines.has(engine.id)) {
        this.engines.set(engine.id, newState(engine));
      }
    }
    return forgotten;
  }

  /**
   * Adds observations; those of unknown engines are ignored.
   *
   * @param id the engine
   * @param sample the observations
   * @param now current time
   */
  add(id: string, sample: Pick<SpeedSample, 'events' | 'ms'>, now: number): void {
    const state = this.engines.get(id);
    const window = state?.meter.add(sample, now);
    if (state !== undefined && window !== undefined) {
      this.noteWindow(state, window);
    }
  }

  /**
   * Adds observations of one incarnation of an engine; those of another one are ignored.
   *
   * @param engine the engine
   * @param sample the observations
   * @param now current time
   */
  addFrom(
    {id, startedAtMs}: Pick<SpeedEngine, 'id' | 'startedAtMs'>,
    sample: Pick<SpeedSample, 'events' | 'ms'>,
    now: number,
  ): void {
    if (this.engines.get(id)?.engine.startedAtMs === startedAtMs) {
      this.add(id, sample, now);
    }
  }

  /**
   * Recomputes all speeds.
   *
   * @param now current time
   * @returns engines whose speed has changed
   */
  update(now: number): readonly SpeedChange[] {
    const medians = new Map<string, number>();
    const changes: SpeedChange[] = [];
    for (const [service, states] of this.currentByService(now)) {
      const medianMs = serviceMedian(states);
      if (medianMs !== undefined) {
        medians.set(service, medianMs);
      }
      setSlowApart(states, now);
      changes.push(...states.flatMap((state) => updateSpeed(state, medianMs) ?? []));
    }
    this.medians = medians;
    return changes;
  }

  /** All engines by service; what was observed too long ago is forgotten. */
  private currentByService(now: number): ReadonlyMap<string, readonly EngineState[]> {
    const byService = new Map<string, EngineState[]>();
    for (const [id, state] of this.engines) {
      const {engine, speed} = state;
      const current = isExpired(state, now) ? {...newState(engine), speed} : state;
      this.engines.set(id, current);
      const others = byService.get(engine.service);
      if (others === undefined) {
        byService.set(engine.service, [current]);
      } else {
        others.push(current);
      }
    }
    return byService;
  }

  /** Follows how long an engine has been much slower than the others, or fast again. */
  private noteWindow(state: EngineState, {endedAt, msPerEvent, startedAt}: SpeedWindow): void {
    // Two slow moments with a pause between them don't make a lastingly slow engine.
    const slowSince = startedAt > state.lastWindowAt ? undefined : state.slowSince;
    state.lastWindowAt = endedAt;
    const medianMs = this.medians.get(state.engine.service);
    if (medianMs === undefined) {
      return;
    }
    const speed = medianMs / msPerEvent;
    state.slowSince = isSetApart(speed) ? (slowSince ?? (startedAt + endedAt) / 2) : undefined;
    state.fastSince = speed >= RETURN_SPEED ? (state.fastSince ?? startedAt) : undefined;
    if (state.isSetApart && endedAt - (state.fastSince ?? endedAt) >= RETURN_AFTER_MS) {
      state.isSetApart = false;
      state.meter.forgetBefore(state.fastSince!);
    }
  }
}
