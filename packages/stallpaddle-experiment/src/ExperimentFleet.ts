/**
 * State of one run that does not depend on the policy.
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

/** An online request and its outcome so far. */
export interface OnlineRequest {
  readonly affinity: string;
  answers: number;
  readonly customer: string;
  firstTokenSeen: boolean;
  readonly sentAt: number;
}

/** Time after the last arrival in which requests can still complete, in milliseconds. */
export const GRACE_MS = 20_000;

/** Holds the clock, engines, requests and measurements of one run. */
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
   * @param workload fleet sizes and request rates
   * @param fault fault to inject
   * @param seed seed of the random numbers
   * @param honoursPriority whether engines start queued online requests before batch items
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

  /** Records the first token of a request, except for requests of the flooding customer. */
  noteFirstToken(req: OnlineRequest, tokenMs: number): void {
    if (req.firstTokenSeen || req.customer === 'flooding') {
      return;
    }
    req.firstTokenSeen = true;
    const returnLatencyMs = this.workload.zoneLatencyMs + this.workload.callerLatencyMs;
    recordMs(this.firstToken, this.clock.now + returnLatencyMs - req.sentAt);
    recordMs(this.tokenTimes, tokenMs);
  }

  /** Counts a completed batch item. */
  noteItem(): void {
    // Items completed in the grace period don't count: it only lets online requests finish.
    if (this.clock.now <= PHASE_MS * 2) {
      this.items++;
      this.eveningItems += this.clock.now >= PHASE_MS ? 1 : 0;
    }
  }
}
