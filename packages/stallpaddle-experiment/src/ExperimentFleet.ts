/**
 * What both policies share: engines, backlog of batch items, and the outcome of every request.
 */
import type {Histogram} from 'hdr-histogram-js';
import type {Random} from 'stallpaddle';

import {seededRandom} from 'stallpaddle';
import {createLatencyHistogram, recordMs} from 'stallpaddle-gateway';

import type {Fault} from './ExperimentFaults';
import type {Workload} from './ExperimentWorkload';

import {ExperimentClock} from './ExperimentClock';
import {ExperimentEngine} from './ExperimentEngine';
import {scheduleFault} from './ExperimentFaults';
import {PHASE_MS} from './ExperimentWorkload';

/** An online request with what became of it. */
export interface OnlineRequest {
  readonly affinity: string;
  answers: number;
  readonly customer: string;
  firstTokenSeen: boolean;
  readonly sentAt: number;
}

/** Time in which what was sent last may still be answered, in milliseconds. */
export const GRACE_MS = 20_000;

/** The world of one run. */
export class ExperimentFleet {
  readonly clock = new ExperimentClock();
  readonly engines: readonly ExperimentEngine[];
  eveningItems = 0;
  readonly firstToken: Histogram = createLatencyHistogram();
  items = 0;
  readonly random: Random;
  readonly requests: OnlineRequest[] = [];
  readonly tokenTimes: Histogram = createLatencyHistogram();
  wasted = 0;

  /**
   * @param workload whose day
   * @param fault the failure
   * @param seed seed of everything random
   * @param honoursPriority engines take online work first
   */
  constructor(
    readonly workload: Workload,
    readonly fault: Fault,
    seed: number,
    honoursPriority: boolean,
  ) {
    this.random = seededRandom(seed);
    this.engines = Array.from(
      {length: workload.engines},
      (_, index) =>
        new ExperimentEngine(this.clock, `engine-${index}`, workload.engine, honoursPriority),
    );
    scheduleFault(fault, this.clock, this.engines);
  }

  /** Notes the first token of a request, where the flood is not of interest. */
  noteFirstToken(req: OnlineRequest, tokenMs: number): void {
    if (req.firstTokenSeen || req.customer === 'flooding') {
      return;
    }
    req.firstTokenSeen = true;
    const arrivesIn = this.workload.zoneLatencyMs + this.workload.callerLatencyMs;
    recordMs(this.firstToken, this.clock.now + arrivesIn - req.sentAt);
    recordMs(this.tokenTimes, tokenMs);
  }

  /** Notes a batch item's end. */
  noteItem(): void {
    // Only what ends within the two phases counts; the grace is for online answers.
    if (this.clock.now <= PHASE_MS * 2) {
      this.items++;
      this.eveningItems += this.clock.now >= PHASE_MS ? 1 : 0;
    }
  }
}
