/** Metrics of fair shares, with a bounded number of customer names. */
import type {JobsShares} from 'stallpaddle-jobs';

import type {NodeMetrics} from './NodeMetrics';

/** Customers that a metric names. */
const NAMED_CUSTOMERS = 8;

/** Name of the sum of all other customers. */
const OTHERS = 'other';

/**
 * Keeps the largest counts, and sums the others.
 *
 * @param counts counts by customer
 */
export function largestCounts(
  counts: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const sorted = [...counts].sort(([, a], [, b]) => b - a);
  const others = sorted.slice(NAMED_CUSTOMERS).reduce((sum, [, count]) => sum + count, 0);
  return {...Object.fromEntries(sorted.slice(0, NAMED_CUSTOMERS)), [OTHERS]: others};
}

/**
 * Adds the gauges of the process that computes the shares.
 *
 * @param metrics the process's metrics
 * @param shares returns the shares; undefined while it computes none
 */
export function exposeShareMetrics(
  metrics: NodeMetrics,
  shares: () => JobsShares | undefined,
): void {
  const levelHelp = 'Slots for each unit of weight; 0 while there is room for all.';
  metrics.exposeGauge('stallpaddle_share_level', levelHelp, () => shares()?.level ?? 0);
  metrics.exposeGauge('stallpaddle_share_customers_over', 'Customers above their share.', () => {
    return shares()?.customersOver ?? 0;
  });
  metrics.exposeLabelledGauge(
    'stallpaddle_share_requests',
    'Requests on engines; the customers with the largest demand.',
    'customer',
    () => Object.entries(shares()?.runningByCustomer() ?? {}),
  );
}
