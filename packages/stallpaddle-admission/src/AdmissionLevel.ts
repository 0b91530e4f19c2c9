/**
 * Weighted max-min shares of slots: pure functions.
 */

/** Demand of one customer. */
export interface WeightedDemand {
  /** Slots that the customer would occupy if nothing held it back. */
  readonly slots: number;
  readonly weight: number;
}

/**
 * Computes the level of weighted max-min shares by water filling: each customer gets its demand or the level times its
 * weight, whichever is less, so that slots which some don't need go to the others.
 *
 * @param demands the customers' demands
 * @param slots number of slots
 * @returns slots per unit of weight; null when there is room for all
 */
export function fairLevel(demands: readonly WeightedDemand[], slots: number): null | number {
  const total = demands.reduce((sum, demand) => sum + demand.slots, 0);
  if (total <= slots) {
    return null;
  }
  const byLevel = [...demands].sort((a, b) => a.slots / a.weight - b.slots / b.weight);
  let left = Math.max(0, slots);
  let weight = demands.reduce((sum, demand) => sum + demand.weight, 0);
  for (const demand of byLevel) {
    if (demand.slots * weight >= left * demand.weight) {
      return left / weight;
    }
    left -= demand.slots;
    weight -= demand.weight;
  }
  return null;
}

/**
 * Weight of a customer: the rate of its limit, halved for each step of priority below the highest.
 *
 * @param customer its limit and its priority
 * @param customer.ratePerSecond requests per second; 0 for no limit
 * @param customer.priority its priority, 0 being the highest; null for none of its own
 */
export function shareWeight({
  priority,
  ratePerSecond,
}: {
  readonly priority: null | number;
  readonly ratePerSecond: number;
}): number {
  return (ratePerSecond > 0 ? ratePerSecond : 1) / 2 ** Math.max(0, priority ?? 0);
}
