/**
 * Simulates how often a harmless request is quarantined because it was starting on engines that crashed. It applies the
 * production quarantine rule. Engines crash for external reasons and because of requests that crash every engine they
 * run on.
 */
import {type Random, seededRandom} from 'stallpaddle';
import {afterEngineEnd, type FleetSuspects, QUARANTINE_LEVEL} from 'stallpaddle-fleet';
import {isStarting} from 'stallpaddle-relay';

/** Parameters of one simulated fleet. */
export interface BlameInput {
  readonly engines: number;
  /** Mean time between crashes of one engine for external reasons, in milliseconds. */
  readonly meanLifeMs: number;
  readonly seed: number;
  /** Simulated time, in milliseconds. */
  readonly spanMs: number;
  /** Interval between new requests that crash engines, in milliseconds. */
  readonly outbreakMs: number;
}

/** Totals of a simulation. */
export interface BlameResult {
  /** Engine crashes. */
  readonly ends: number;
  /** Quarantined requests that crash engines. */
  readonly guilty: number;
  /** Quarantined requests that are harmless. */
  readonly innocent: number;
  readonly requests: number;
}

const SLOTS = 8;
const UTILIZATION = 0.8;
const RUN_MS = 800;
const FIRST_EVENT_MS = 60;
const EVENT_INTERVAL_MS = 27;
/** Time from the start of a fatal request to the crash it causes, in milliseconds. */
const CRASH_DELAY_MS = 65;
/** Delay before a caller retries an interrupted request, in milliseconds. */
const RETRY_DELAY_MS = 100;
/** Time an engine takes to restart, in milliseconds. */
const RESTART_MS = 4_000;
/** Step of the simulated clock, in milliseconds. */
const STEP_MS = 5;

interface Run {
  readonly beganAt: number;
  readonly engine: number;
  readonly isFatal: boolean;
  readonly name: string;
}

interface Arrival {
  readonly at: number;
  readonly isFatal: boolean;
  readonly name: string;
}

/** Simulates one fleet in fixed time steps. */
class BlameModel {
  private readonly availableAt: number[];
  private readonly delayedRetries: Arrival[] = [];
  ends = 0;
  readonly quarantined = {guilty: 0, innocent: 0};
  private readonly random: Random;
  requests = 0;
  private runs: Run[] = [];
  private suspects: FleetSuspects = new Map();

  constructor(private readonly input: BlameInput) {
    this.random = seededRandom(input.seed);
    this.availableAt = Array.from({length: input.engines}, () => 0);
  }

  run(): BlameResult {
    const {engines, outbreakMs, spanMs} = this.input;
    const perStep = (engines * SLOTS * UTILIZATION * STEP_MS) / RUN_MS;
    for (let now = 0; now < spanMs; now += STEP_MS) {
      const count = Math.floor(perStep) + (this.random() < perStep % 1 ? 1 : 0);
      for (let at = 0; at < count; at++) {
        this.startRun({at: now, isFatal: false, name: `r${this.requests++}`}, now);
      }
      if (now % outbreakMs === 0) {
        this.startRun({at: now, isFatal: true, name: `fatal${now}`}, now);
      }
      this.startDueRetries(now);
      this.crashEngines(now);
    }
    return {ends: this.ends, requests: this.requests, ...this.quarantined};
  }

  private startDueRetries(now: number): void {
    const isDue = ({at}: Arrival): boolean => at <= now;
    const starting = this.delayedRetries.filter(isDue);
    this.delayedRetries.splice(
      0,
      this.delayedRetries.length,
      ...this.delayedRetries.filter((retry) => !isDue(retry)),
    );
    starting.forEach((retry) => this.startRun(retry, now));
  }

  private startRun({isFatal, name}: Arrival, now: number): void {
    const engine = Math.floor(this.random() * this.input.engines);
    if (this.availableAt[engine]! <= now) {
      this.runs.push({beganAt: now, engine, isFatal, name});
    }
  }

  private crashEngines(now: number): void {
    const {engines, meanLifeMs} = this.input;
    const crashed = new Set<number>();
    const expected = (engines * STEP_MS) / meanLifeMs;
    if (this.random() < expected) {
      crashed.add(Math.floor(this.random() * engines));
    }
    for (const {beganAt, engine, isFatal} of this.runs) {
      if (isFatal && now - beganAt >= CRASH_DELAY_MS) {
        crashed.add(engine);
      }
    }
    const isInterrupted = ({engine}: Run): boolean => crashed.has(engine);
    this.runs.filter(isInterrupted).forEach((run) => this.interrupt(run, now));
    this.runs = this.runs.filter((run) => !isInterrupted(run) && now - run.beganAt < RUN_MS);
    for (const engine of crashed) {
      this.ends++;
      this.availableAt[engine] = now + RESTART_MS;
    }
  }

  private interrupt({beganAt, engine, isFatal, name}: Run, now: number): void {
    const firstAt = beganAt + FIRST_EVENT_MS;
    const events = Math.max(0, Math.floor((now - firstAt) / EVENT_INTERVAL_MS) + 1);
    if (isStarting({events, firstAt: firstAt > now ? undefined : firstAt}, now)) {
      // Each retry carries the suspicion level reached so far: the worst case for a harmless request.
      const known = this.suspects.get(name)?.level ?? 0;
      const report = {digest: name, engine: `e${engine}`, kind: 'noteEngineEnd', known} as const;
      this.suspects = afterEngineEnd(this.suspects, {...report, startedAtMs: now}, 0);
    }
    if ((this.suspects.get(name)?.level ?? 0) >= QUARANTINE_LEVEL) {
      this.quarantined[isFatal ? 'guilty' : 'innocent']++;
    } else {
      this.delayedRetries.push({at: now + RETRY_DELAY_MS, isFatal, name});
    }
  }
}

/**
 * Simulates one fleet and counts crashes and quarantined requests.
 *
 * @param input parameters of the fleet
 */
export function modelBlame(input: BlameInput): BlameResult {
  return new BlameModel(input).run();
}
