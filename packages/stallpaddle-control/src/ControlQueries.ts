/**
 * Queries to the control group, and the interface by which other packages reach it.
 */
import {unreachable} from 'stallpaddle';

import type {
  AuditEntry,
  ControlCommand,
  ControlCommandResult,
  ControlState,
  PlanRecord,
} from './ControlTypes';

/** Queries to the control group. */
export type ControlQuery =
  | {readonly after: number; readonly limit: number; readonly type: 'audit'}
  | {readonly planId: string; readonly type: 'plan'}
  | {readonly type: 'revision'};

/** Result of a query. */
export type ControlQueryResult =
  | {readonly entries: readonly AuditEntry[]; readonly type: 'audit'}
  | {readonly plan: PlanRecord | undefined; readonly type: 'plan'}
  | {readonly revision: number; readonly type: 'revision'};

/** Client interface of the control group; finds the leader. */
export interface ControlPort {
  /**
   * Submits a command; resolves once a majority has stored it on disk.
   *
   * @throws {RefusalError} `unavailable` when no leader accepts it in time
   */
  readonly command: (command: ControlCommand) => Promise<ControlCommandResult>;
  /** Runs a query on the leader. */
  readonly query: <Type extends ControlQuery['type']>(
    query: Extract<ControlQuery, {type: Type}>,
  ) => Promise<Extract<ControlQueryResult, {type: Type}>>;
}

/**
 * Runs a query on the control state.
 *
 * @param state the control state
 * @param query the query
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
