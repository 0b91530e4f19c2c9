/**
 * The log of one process: lines for decisions, within a budget for each kind, so that no load of requests
 * can flood it.
 */
import type {Clock, LogFields, Logger} from 'stallpaddle';

import type {NodeMetrics} from './NodeMetrics';

import {SECOND_MS} from './NodeConstants';

/** Lines of one kind a second; above twice the decisions of a busy entry VM of today. */
const LINES_A_SECOND = 400;

interface Budget {
  left: number;
  omitted: number;
  since: number;
}

/** See the module's comment. */
export class NodeLog {
  private readonly budgets = new Map<string, Budget>();

  /**
   * @param logger writes the lines
   * @param clock this process's clock
   * @param metrics count the decisions, also those that are left out of the log
   */
  constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
    private readonly metrics: NodeMetrics,
  ) {}

  /**
   * Writes a line for a decision on a request or an item.
   *
   * @param decision its kind
   * @param id the request or item
   * @param fields what decided it, and what came of it
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
   * Writes a line for a change of what the process believes.
   *
   * @param message one sentence
   * @param fields what goes with it
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
      this.logger.warn('Decisions were left out of the log.', {decision, omitted: known.omitted});
    }
    const fresh = {left: LINES_A_SECOND, omitted: 0, since: now};
    this.budgets.set(decision, fresh);
    return fresh;
  }
}
