/**
 * Runs one simulation of a workload under a policy and a fault.
 */
import {exponentialMs, seededRandom} from 'stallpaddle';
import {unreachable} from 'stallpaddle';

import type {Fault} from './ExperimentFaults';
import type {Workload} from './ExperimentWorkload';

import {CurrentPolicy} from './ExperimentCurrent';
import {customerOf, faultyRate} from './ExperimentFaults';
import {ExperimentFleet, GRACE_MS, type OnlineRequest} from './ExperimentFleet';
import {NaivePolicy} from './ExperimentNaive';
import {batchLimit, onlineRate, PHASE_MS} from './ExperimentWorkload';

/** Policies to compare; `noBatch` is the production policy without batch items. */
export const POLICIES = ['naive', 'noBatch', 'current'] as const;

export type PolicyName = (typeof POLICIES)[number];

/** Measurements of one run. */
export interface RunResult {
  readonly batchItemsPerSecond: number;
  readonly batchLimitItemsPerSecond: number;
  readonly cacheHitFraction: number;
  readonly cancelledItems: number;
  readonly doubled: number;
  readonly fault: Fault;
  readonly interTokenP95Ms: number;
  readonly lateItems: number;
  readonly lost: number;
  readonly policy: PolicyName;
  readonly requests: number;
  readonly ttftP50Ms: number;
  readonly ttftP99Ms: number;
  readonly workload: string;
}

/** Fraction of the batch limit that must be completed during the evening. */
const EVENING_DUE_FRACTION = 0.85;
/** Distinct prompt prefixes per customer. */
const PREFIXES = 2;

interface RequestReceiver {
  readonly arrive: (req: OnlineRequest) => void;
}

function createPolicy(policy: PolicyName, fleet: ExperimentFleet): RequestReceiver {
  switch (policy) {
    case 'current':
      return new CurrentPolicy(fleet, true);
    case 'naive':
      return new NaivePolicy(fleet);
    case 'noBatch':
      return new CurrentPolicy(fleet, false);
    default:
      return unreachable(policy);
  }
}

/** Schedules open-loop arrivals: the rate does not depend on earlier responses. */
function scheduleArrivals(fleet: ExperimentFleet, policy: RequestReceiver, seed: number): void {
  const random = seededRandom(seed + 1);
  const {clock, fault, requests, workload} = fleet;
  const scheduleNext = (): void => {
    const rate = faultyRate(fault, onlineRate(workload, clock.now), clock.now);
    clock.after(exponentialMs(random, rate), () => {
      if (clock.now >= PHASE_MS * 2) {
        return;
      }
      const customer = customerOf(fault, random, workload.customers, clock.now);
      const affinity = `${customer}/${Math.floor(random() * PREFIXES)}`;
      const req = {affinity, answers: 0, customer, firstTokenSeen: false, sentAt: clock.now};
      requests.push(req);
      clock.after(workload.callerLatencyMs, () => policy.arrive(req));
      scheduleNext();
    });
  };
  scheduleNext();
}

/**
 * Runs one simulation and summarizes its outcome.
 *
 * @param workload fleet sizes and request rates
 * @param policy routing policy
 * @param fault fault to inject
 * @param seed seed of the random numbers
 */
export function runExperiment(
  workload: Workload,
  policy: PolicyName,
  fault: Fault,
  seed: number,
): RunResult {
  const fleet = new ExperimentFleet(workload, fault, seed, policy !== 'naive');
  scheduleArrivals(fleet, createPolicy(policy, fleet), seed);
  fleet.clock.runUntil(PHASE_MS * 2 + GRACE_MS);
  const {engines, firstToken, items, requests, tokenTimes} = fleet;
  const limit = batchLimit(workload, requests.length);
  const seconds = (PHASE_MS * 2) / 1000;
  const due = policy === 'noBatch' ? 0 : (limit * EVENING_DUE_FRACTION * PHASE_MS) / 1000;
  const lookups = engines.reduce((sum, {cacheLooks}) => sum + cacheLooks, 0);
  const hits = engines.reduce((sum, {cacheHits}) => sum + cacheHits, 0);
  const ms = (us: number): number => Math.round(us / 10) / 100;
  return {
    batchItemsPerSecond: Math.round((items / seconds) * 100) / 100,
    batchLimitItemsPerSecond: Math.round(limit * 100) / 100,
    cacheHitFraction: Math.round((hits / Math.max(1, lookups)) * 1000) / 1000,
    cancelledItems: fleet.wasted,
    doubled: requests.filter(({answers}) => answers > 1).length,
    fault,
    interTokenP95Ms: ms(tokenTimes.getValueAtPercentile(95)),
    lateItems: Math.max(0, Math.round(due - fleet.eveningItems)),
    lost: requests.filter(({answers, customer}) => answers === 0 && customer !== 'flooding').length,
    policy,
    requests: requests.length,
    ttftP50Ms: ms(firstToken.getValueAtPercentile(50)),
    ttftP99Ms: ms(firstToken.getValueAtPercentile(99)),
    workload: workload.name,
  };
}
