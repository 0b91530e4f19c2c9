/**
 * Budget that limits retries to a fraction of the requests. All functions are pure.
 */

/** Retries that are currently allowed; requests add to it and retries use it up. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
const MAX_RETRY_TOKENS = 10;

/** A full budget. */
export const FULL_RETRY_BUDGET: RetryBudget = {tokens: MAX_RETRY_TOKENS};

/**
 * Adds a request's first attempt to the budget.
 *
 * @param budget current budget
 */
export function countRequest(budget: RetryBudget): RetryBudget {
  return {tokens: Math.min(MAX_RETRY_TOKENS, budget.tokens + RETRIES_PER_REQUEST)};
}

/**
 * Uses one retry; returns undefined when the budget is used up, since more retries would add to the overload.
 *
 * @param budget current budget
 */
export function takeRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens >= 1 ? {tokens: budget.tokens - 1} : undefined;
}
