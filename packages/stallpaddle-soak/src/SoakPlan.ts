/** Generates the fault plan of a soak from its seed. Pure. */
import {type Random, seededRandom} from 'stallpaddle';

import type {PlannedFault, SoakFault} from './SoakTypes';

/** The VMs and engines of a soak. */
export interface SoakShape {
  /** Entry VMs with a disk, which hold the control group. */
  readonly controls: readonly string[];
  readonly engines: number;
  readonly entries: readonly string[];
  /** Number of simultaneous disk losses that the fleet must tolerate. */
  readonly lostDisks: number;
  readonly stores: readonly string[];
}

/** Parameters of a plan. */
export interface SoakPlanInput {
  /** Time from the first fault to the last, in milliseconds. */
  readonly forMs: number;
  readonly seed: number;
  readonly shape: SoakShape;
}

/** Mean pause between the starts of two faults, in milliseconds; short enough that faults overlap. */
const MEAN_PAUSE_MS = 700;
/** Shortest and longest duration of a fault, in milliseconds. */
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 3_500;
/** Time in which a VM has restored its data after a restart with an empty disk, on a busy machine, in milliseconds. */
const CATCH_UP_MS = 10_000;
/** Time in which a VM that kept its disk participates again, in milliseconds. */
const REJOIN_MS = 3_000;
/** Shortest time between two kills of all processes, in milliseconds. */
const KILL_ALL_INTERVAL_MS = 12_000;
/** Longest time for which all processes are down, in milliseconds. */
const MAX_ALL_DOWN_MS = 1_500;
/** Probability that a plan ends with a loss of disks. */
const FINAL_LOSS_PROBABILITY = 0.7;
/** Longest delay on a slow link, in milliseconds. */
const MAX_DELAY_MS = 150;

/** VMs with a disk that may be unavailable, and until when. */
type Outages = Map<string, number>;

function pick<T>(random: Random, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)]!;
}

function between(random: Random, min: number, max: number): number {
  return Math.round(min + random() * (max - min));
}

/** Generates the faults of one plan. */
class Planner {
  private lastKillAllAt = -Infinity;
  private readonly outages: Outages = new Map();
  private readonly random: Random;

  constructor(private readonly input: SoakPlanInput) {
    this.random = seededRandom(input.seed);
  }

  plan(): readonly PlannedFault[] {
    const faults: PlannedFault[] = [];
    const {forMs} = this.input;
    for (let at = 0; at < forMs; at += between(this.random, 0, 2 * MEAN_PAUSE_MS)) {
      const fault = this.draw(at);
      if (fault !== undefined) {
        faults.push({at, fault});
      }
    }
    return [...faults, {at: forMs, fault: this.drawFinalFault()}];
  }

  /** Kills all processes at the end, either without a loss of disks or with as many as the fleet must tolerate. */
  private drawFinalFault(): SoakFault {
    const {controls, lostDisks, stores} = this.input.shape;
    const mayLose = this.random() < FINAL_LOSS_PROBABILITY ? lostDisks - this.outagesAtEnd() : 0;
    const wiped = this.drawVms([...stores, ...controls], mayLose);
    return {downMs: between(this.random, MIN_DURATION_MS, MAX_ALL_DOWN_MS), kind: 'killAll', wiped};
  }

  /** Number of VMs whose outage lasts beyond the end of the plan. */
  private outagesAtEnd(): number {
    const {forMs} = this.input;
    return [...this.outages.values()].filter((until) => until > forMs).length;
  }

  private drawVms(vms: readonly string[], count: number): readonly string[] {
    const candidates = vms.filter((vm) => (this.outages.get(vm) ?? 0) <= this.input.forMs);
    const drawn: string[] = [];
    while (drawn.length < count && candidates.length > 0) {
      drawn.push(...candidates.splice(Math.floor(this.random() * candidates.length), 1));
    }
    return drawn;
  }

  private draw(at: number): SoakFault | undefined {
    const {random} = this;
    const {controls, engines, entries, stores} = this.input.shape;
    const durationMs = between(random, MIN_DURATION_MS, MAX_DURATION_MS);
    const engine = Math.floor(random() * engines);
    const roll = random();
    if (roll < 0.3) {
      return this.drawDiskFault(at, pick(random, [...stores, ...controls]), durationMs);
    }
    if (roll < 0.45) {
      return this.drawEntryFault(pick(random, entries), durationMs);
    }
    if (roll < 0.5) {
      return this.drawKillAll(at);
    }
    if (roll < 0.6) {
      return {kind: 'reset', vm: pick(random, entries)};
    }
    if (roll < 0.7) {
      const delayMs = between(random, 5, MAX_DELAY_MS);
      return {delayMs, forMs: durationMs, kind: 'slow', vm: pick(random, entries)};
    }
    if (roll < 0.8) {
      return {downMs: durationMs, engine, kind: 'engineCrash', sameName: random() < 0.5};
    }
    if (roll < 0.85) {
      return {engine, forMs: durationMs, kind: 'engineSilent'};
    }
    if (roll < 0.9) {
      return {engine, forMs: durationMs, kind: 'engineBreaks'};
    }
    if (roll < 0.95) {
      return {engine, kind: 'engineLeaves', sameName: random() < 0.5};
    }
    return {kind: 'configure'};
  }

  /** Draws a fault of a VM with a disk; undefined if it would exceed the tolerated number of outages. */
  private drawDiskFault(at: number, vm: string, forMs: number): SoakFault | undefined {
    const {lostDisks} = this.input.shape;
    const out = [...this.outages].filter(([, until]) => until > at).map(([name]) => name);
    if (out.length >= lostDisks || out.includes(vm)) {
      return undefined;
    }
    const roll = this.random();
    const isWiped = roll >= 0.2 && roll < 0.4;
    this.outages.set(vm, at + forMs + (isWiped ? CATCH_UP_MS : REJOIN_MS));
    if (roll < 0.2) {
      return {downMs: forMs, kind: 'kill', vm};
    }
    if (isWiped) {
      return {downMs: forMs, kind: 'wipe', vm};
    }
    if (roll < 0.6) {
      return {forMs, kind: 'freeze', vm};
    }
    if (roll < 0.75) {
      return {direction: pick(this.random, ['answers', 'both', 'calls']), forMs, kind: 'cut', vm};
    }
    if (roll < 0.85) {
      return {delayMs: between(this.random, 5, MAX_DELAY_MS), forMs, kind: 'slow', vm};
    }
    return roll < 0.9 ? {kind: 'reset', vm} : {kind: 'stop', vm};
  }

  private drawEntryFault(vm: string, forMs: number): SoakFault {
    const roll = this.random();
    if (roll < 0.4) {
      return {downMs: forMs, kind: 'kill', vm};
    }
    return roll < 0.7 ? {forMs, kind: 'freeze', vm} : {kind: 'stop', vm};
  }

  private drawKillAll(at: number): SoakFault | undefined {
    if (at - this.lastKillAllAt < KILL_ALL_INTERVAL_MS) {
      return undefined;
    }
    this.lastKillAllAt = at;
    const downMs = between(this.random, MIN_DURATION_MS, MAX_ALL_DOWN_MS);
    // The kill interrupts VMs that are catching up: they start over after the restart.
    for (const [vm, until] of this.outages) {
      if (until > at) {
        this.outages.set(vm, until + downMs + CATCH_UP_MS);
      }
    }
    return {downMs, kind: 'killAll', wiped: []};
  }
}

/**
 * Generates a plan; the same input always gives the same plan.
 *
 * @param input parameters of the plan
 */
export function planFaults(input: SoakPlanInput): readonly PlannedFault[] {
  return new Planner(input).plan();
}
