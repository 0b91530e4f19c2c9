/**
 * What may be asked of the control group, and how other parts reach it.
 */
import {unreachable} from 'stallpaddle';

import type {
  AuditEntry,
  ControlCommand,
  ControlCommandResult,
  ControlState,
  PlanRecord,
} from './ControlTypes';

/** Questions to the control group. */
export type ControlQuery =
  | {readonly after: number; readonly limit: number; readonly type: 'audit'}
  | {readonly planId: string; readonly type: 'plan'}
  | {readonly type: 'revision'};

/** Answers. */
export type ControlQueryResult =
  | {readonly entries: readonly AuditEntry[]; readonly type: 'audit'}
  | {readonly plan: PlanRecord | undefined; readonly type: 'plan'}
  | {readonly revision: number; readonly type: 'revision'};

/** The control group, wherever its leader is. */
export interface ControlPort {
  /**
   * Applies a command; resolves once a majority has it on disk.
   *
   * @throws {RefusalError} `unavailable` when no leader takes it in time
   */
  readonly command: (command: ControlCommand) => Promise<ControlCommandResult>;
  /** Asks the leader. */
  readonly query: <Type extends ControlQuery['type']>(
    query: Extract<ControlQuery, {type: Type}>,
  ) => Promise<Extract<ControlQueryResult, {type: Type}>>;
}

/**
 * Answers a question.
 *
 * @param state the control state
 * @param query the question
 */
export function queryControl(state: ControlState, query: ControlQuery): ControlQueryResult {
  switch (query.type) {
    case 'audit': {
      const newer = state.audit.filter((entry) => entry.number > query.after);
      return {entries: newer.take(query.limit).toArray(), type: 'audit'};
    }
    case 'plan':
      return {plan: state.plans.get(query.planId), type: 'plan'};
    case 'revision':
      return {revision: state.revision, type: 'revision'};
    default:
      return unreachable(query);
  }
}
