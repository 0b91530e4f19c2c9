/** Log of a component of the process. */
import type {Clock, LogFields, Logger} from 'stallpaddle';

import type {NodeMetrics} from './NodeMetrics';

import {SECOND_MS} from './NodeConstants';

/** Most lines per second for each kind of decision. */
const LINES_PER_SECOND = 400;

interface Budget {
  left: number;
  omitted: number;
  since: number;
}

/** Logs decisions, rate-limited for each kind so that request load can't flood the log. */
export class NodeLog {
  private readonly budgets = new Map<string, Budget>();

  /**
   * @param logger writes the lines
   * @param clock this process's clock
   * @param metrics counts all decisions, including those omitted from the log
   */
  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
  ) {}

  /**
   * Counts a decision on a request or an item, and logs it within the rate limit.
   *
   * @param decision its kind
   * @param id the request or item
   * @param fields the reasons and the result
   */
  decide(decision: string, id: string, fields: LogFields): void {
    this.metrics.count('stallpaddle_decisions_total', 'Decisions by kind.', {decision});
    const budget = this.budgetOf(decision);
    if (budget.left <= 0) {
      budget.omitted++;
      return;
    }
    budget.left--;
    this.logger.info(decision, {id, ...fields});
  }

  /**
   * Logs a change of the process's state.
   *
   * @param message one sentence
   * @param fields structured details
   */
  note(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  private budgetOf(decision: string): Budget {
    const now = this.clock.monotonicMs();
    const known = this.budgets.get(decision);
    if (known !== undefined && now - known.since < SECOND_MS) {
      return known;
    }
    if (known !== undefined && known.omitted > 0) {
      this.logger.warn('Decisions were omitted from the log.', {decision, omitted: known.omitted});
    }
    const fresh = {left: LINES_PER_SECOND, omitted: 0, since: now};
    this.budgets.set(decision, fresh);
    return fresh;
  }
}
