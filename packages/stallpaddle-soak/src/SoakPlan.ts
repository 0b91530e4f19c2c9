/**
 * Draws the faults of a soak from its seed: overlapping, in series, never more disks at once than the fleet's settings
 * allow to be lost. Pure.
 */
import {type Random, seededRandom} from 'stallpaddle';

import type {PlannedFault, SoakFault} from './SoakTypes';

/** The VMs and engines of a soak. */
export interface SoakShape {
  /** Entry VMs with a disk, which hold the control group. */
  readonly controls: readonly string[];
  readonly engines: number;
  readonly entries: readonly string[];
  /** Disks that may be lost at once. */
  readonly lostDisks: number;
  readonly stores: readonly string[];
}

/** What a plan is drawn from. */
export interface SoakPlanInput {
  /** Time from the first fault to the last, in milliseconds. */
  readonly forMs: number;
  readonly seed: number;
  readonly shape: SoakShape;
}

/** Mean pause between two faults, in milliseconds: about four of them overlap. */
const PAUSE_MS = 700;
/** Shortest and longest fault, in milliseconds. */
const LEAST_MS = 300;
const MOST_MS = 3_500;
/**
 * Time in which a VM that is back, perhaps with an empty disk, holds everything again, in milliseconds. An idle machine
 * needs two seconds; one that runs many processes beside the soak needs several times as long.
 */
const CATCH_UP_MS = 10_000;
/** Time in which a VM that kept its disk takes part again, in milliseconds. */
const BACK_MS = 3_000;
/** Time between two losses of all processes, in milliseconds. */
const ALL_AGAIN_MS = 12_000;
/** Longest time for which all processes are down, in milliseconds. */
const MOST_ALL_MS = 1_500;
/** Part of the plans at whose end disks are lost. */
const FINAL_LOSS_PART = 0.7;
/** Longest delay on a slow link, in milliseconds. */
const MOST_DELAY_MS = 150;

/** A VM that counts as out until a moment. */
type Outs = Map<string, number>;

function pick<T>(random: Random, list: readonly T[]): T {
  return list[Math.floor(random() * list.length)]!;
}

function between(random: Random, least: number, most: number): number {
  return Math.round(least + random() * (most - least));
}

/** Draws faults of one plan. */
class Planner {
  private allAt = -Infinity;
  private readonly outs: Outs = new Map();
  private readonly random: Random;

  constructor(private readonly input: SoakPlanInput) {
    this.random = seededRandom(input.seed);
  }

  plan(): readonly PlannedFault[] {
    const faults: PlannedFault[] = [];
    const {forMs} = this.input;
    for (let at = 0; at < forMs; at += between(this.random, 0, 2 * PAUSE_MS)) {
      const fault = this.draw(at);
      if (fault !== undefined) {
        faults.push({at, fault});
      }
    }
    return [...faults, {at: forMs, fault: this.last()}];
  }

  /** At the end all processes are killed, and as many disks are lost as the settings allow, or none. */
  private last(): SoakFault {
    const {controls, lostDisks, stores} = this.input.shape;
    const mayLose = this.random() < FINAL_LOSS_PART ? lostDisks - this.lostNow() : 0;
    const wiped = this.drawSome([...stores, ...controls], mayLose);
    return {downMs: between(this.random, LEAST_MS, MOST_ALL_MS), kind: 'killAll', wiped};
  }

  /** Disks that are lost at the plan's end and not replaced yet. */
  private lostNow(): number {
    const {forMs} = this.input;
    return [...this.outs.values()].filter((until) => until > forMs).length;
  }

  private drawSome(vms: readonly string[], count: number): readonly string[] {
    const left = vms.filter((vm) => (this.outs.get(vm) ?? 0) <= this.input.forMs);
    const drawn: string[] = [];
    while (drawn.length < count && left.length > 0) {
      drawn.push(...left.splice(Math.floor(this.random() * left.length), 1));
    }
    return drawn;
  }

  private draw(at: number): SoakFault | undefined {
    const {random} = this;
    const {controls, engines, entries, stores} = this.input.shape;
    const durationMs = between(random, LEAST_MS, MOST_MS);
    const engine = Math.floor(random() * engines);
    const lot = random();
    if (lot < 0.3) {
      return this.drawOut(at, pick(random, [...stores, ...controls]), durationMs);
    }
    if (lot < 0.45) {
      return this.drawEntry(pick(random, entries), durationMs);
    }
    if (lot < 0.5) {
      return this.drawAll(at);
    }
    if (lot < 0.6) {
      return {kind: 'reset', vm: pick(random, entries)};
    }
    if (lot < 0.7) {
      const delayMs = between(random, 5, MOST_DELAY_MS);
      return {delayMs, forMs: durationMs, kind: 'slow', vm: pick(random, entries)};
    }
    if (lot < 0.8) {
      return {downMs: durationMs, engine, kind: 'engineCrash', sameName: random() < 0.5};
    }
    if (lot < 0.85) {
      return {engine, forMs: durationMs, kind: 'engineSilent'};
    }
    if (lot < 0.9) {
      return {engine, forMs: durationMs, kind: 'engineBreaks'};
    }
    if (lot < 0.95) {
      return {engine, kind: 'engineLeaves', sameName: random() < 0.5};
    }
    return {kind: 'configure'};
  }

  /** A fault of a VM with a disk; nothing while as many are out as may be. */
  private drawOut(at: number, vm: string, forMs: number): SoakFault | undefined {
    const {lostDisks} = this.input.shape;
    const out = [...this.outs].filter(([, until]) => until > at).map(([name]) => name);
    if (out.length >= lostDisks || out.includes(vm)) {
      return undefined;
    }
    const lot = this.random();
    const isWiped = lot >= 0.2 && lot < 0.4;
    this.outs.set(vm, at + forMs + (isWiped ? CATCH_UP_MS : BACK_MS));
    if (lot < 0.2) {
      return {downMs: forMs, kind: 'kill', vm};
    }
    if (isWiped) {
      return {downMs: forMs, kind: 'wipe', vm};
    }
    if (lot < 0.6) {
      return {forMs, kind: 'freeze', vm};
    }
    if (lot < 0.75) {
      return {direction: pick(this.random, ['answers', 'both', 'calls']), forMs, kind: 'cut', vm};
    }
    if (lot < 0.85) {
      return {delayMs: between(this.random, 5, MOST_DELAY_MS), forMs, kind: 'slow', vm};
    }
    return lot < 0.9 ? {kind: 'reset', vm} : {kind: 'stop', vm};
  }

  private drawEntry(vm: string, forMs: number): SoakFault {
    const lot = this.random();
    if (lot < 0.4) {
      return {downMs: forMs, kind: 'kill', vm};
    }
    return lot < 0.7 ? {forMs, kind: 'freeze', vm} : {kind: 'stop', vm};
  }

  private drawAll(at: number): SoakFault | undefined {
    if (at - this.allAt < ALL_AGAIN_MS) {
      return undefined;
    }
    this.allAt = at;
    const downMs = between(this.random, LEAST_MS, MOST_ALL_MS);
    // Whoever was catching up begins anew once all are back.
    for (const [vm, until] of this.outs) {
      if (until > at) {
        this.outs.set(vm, until + downMs + CATCH_UP_MS);
      }
    }
    return {downMs, kind: 'killAll', wiped: []};
  }
}

/**
 * Draws a plan; the same seed and shape give the same one.
 *
 * @param input what it is drawn from
 */
export function planFaults(input: SoakPlanInput): readonly PlannedFault[] {
  return new Planner(input).plan();
}
