/**
 * Replicated state machine of the control group: plans, confirmations, revisions and the audit trail.
 */
import type {MachineResult, ReplicaMachine} from 'stallpaddle-replication';

import {Map as ImmutableMap, List} from 'immutable';
import {decodeValue, encodeValue, unreachable} from 'stallpaddle';

import type {
  AuditEntry,
  ConfigChange,
  ControlCommand,
  ControlCommandResult,
  ControlState,
  PlanRecord,
  PlanState,
  RevisionChange,
  WallMs,
} from './ControlTypes';

import {applyChanges, configToChanges, EMPTY_CONFIG} from './ControlConfig';
import {planIntent} from './ControlPlanner';

/** Most audit entries kept in the state. */
const MAX_AUDIT_ENTRIES = 20_000;
/** Most revisions kept for incremental updates; a VM further behind gets the whole configuration. */
const MAX_HISTORY_REVISIONS = 1_000;
/** Most plans kept, so that a repeated confirmation gets the original outcome. */
const MAX_PLANS = 2_000;

/** State of a control group before its first command. */
export const INITIAL_CONTROL_STATE: ControlState = {
  audit: List<AuditEntry>(),
  auditCount: 0,
  config: EMPTY_CONFIG,
  history: List<RevisionChange>(),
  plans: ImmutableMap<string, PlanRecord>(),
  revision: 0,
};

type AuditNote = Pick<AuditEntry, 'action' | 'actor' | 'at' | 'detail'> & {
  readonly planId?: string;
};

function withAuditEntry(state: ControlState, note: AuditNote): ControlState {
  const {action, actor, at, detail, planId = null} = note;
  const number = state.auditCount + 1;
  const entry: AuditEntry = {action, actor, at, detail, number, planId, revision: state.revision};
  return {...state, audit: state.audit.push(entry).takeLast(MAX_AUDIT_ENTRIES), auditCount: number};
}

function withRevision(state: ControlState, changes: readonly ConfigChange[]): ControlState {
  const revision = state.revision + 1;
  return {
    ...state,
    config: applyChanges(state.config, changes),
    history: state.history.push({changes, revision}).takeLast(MAX_HISTORY_REVISIONS),
    revision,
  };
}

function withPlan(state: ControlState, plan: PlanRecord): ControlState {
  let plans = state.plans.set(plan.id, plan);
  if (plans.size > MAX_PLANS) {
    const oldest = plans.valueSeq().minBy((stored) => stored.at)!;
    plans = plans.remove(oldest.id);
  }
  return {...state, plans};
}

interface Outcome {
  readonly result: ControlCommandResult;
  readonly state: ControlState;
}

function refused(
  state: ControlState,
  code: 'badRequest' | 'conflict' | 'notFound',
  message: string,
): Outcome {
  return {result: {code, kind: 'refused', message}, state};
}

function createPlan(
  state: ControlState,
  command: Extract<ControlCommand, {type: 'plan'}>,
): Outcome {
  const {intent, now, operator, planId} = command;
  const stored = state.plans.get(planId);
  if (stored !== undefined) {
    return {result: {kind: 'plan', plan: stored}, state};
  }
  const planned = planIntent(state.config, intent);
  if (planned.kind === 'refused') {
    const note = {
      action: 'refuse' as const,
      actor: operator,
      at: now,
      detail: `${intent.kind}: ${planned.reason}`,
    };
    return refused(withAuditEntry(state, note), 'badRequest', planned.reason);
  }
  const record: PlanRecord = {
    at: now,
    basis: state.revision,
    content: planned.content,
    id: planId,
    intent,
    operator,
    state: {kind: 'proposed'},
  };
  const note = {
    action: 'plan' as const,
    actor: operator,
    at: now,
    detail: JSON.stringify(intent),
    planId,
  };
  return {
    result: {kind: 'plan', plan: record},
    state: withAuditEntry(withPlan(state, record), note),
  };
}

/** Lists the plans confirmed since a revision, for the operator whose plan is out of date. */
function listChangesSince(state: ControlState, revision: number): string {
  return [...state.plans.values()]
    .flatMap((stored) =>
      stored.state.kind === 'confirmed' && stored.state.revision > revision
        ? [`revision ${stored.state.revision} by ${stored.state.by}: ${stored.intent.kind}`]
        : [],
    )
    .join('; ');
}

function confirmPlan(
  state: ControlState,
  command: Extract<ControlCommand, {type: 'confirm'}>,
): Outcome {
  const {now, operator, planId} = command;
  const stored = state.plans.get(planId);
  if (stored === undefined) {
    return refused(state, 'notFound', `no plan ${planId}`);
  }
  // A repeated confirmation returns the outcome of the first one.
  if (stored.state.kind !== 'proposed') {
    return {result: {kind: 'plan', plan: stored}, state};
  }
  const isCurrent = stored.basis === state.revision;
  const outcome: PlanState = isCurrent
    ? {at: now, by: operator, kind: 'confirmed', revision: state.revision + 1}
    : {
        at: now,
        by: operator,
        kind: 'refused',
        reason: `made on revision ${stored.basis}, now ${state.revision} (${listChangesSince(state, stored.basis)})`,
      };
  const decided: PlanRecord = {...stored, state: outcome};
  const next = isCurrent ? withRevision(state, stored.content.changes) : state;
  const note: AuditNote = {
    action: isCurrent ? 'confirm' : 'refuse',
    actor: operator,
    at: now,
    detail: outcome.kind === 'refused' ? outcome.reason : stored.intent.kind,
    planId,
  };
  return {
    result: {kind: 'plan', plan: decided},
    state: withAuditEntry(withPlan(next, decided), note),
  };
}

function bootstrap(state: ControlState, changes: readonly ConfigChange[], now: WallMs): Outcome {
  if (state.revision > 0) {
    return {result: {kind: 'ok'}, state};
  }
  const next = withRevision(state, changes);
  const note = {
    action: 'start' as const,
    actor: 'settings',
    at: now,
    detail: 'first configuration',
  };
  return {result: {kind: 'ok'}, state: withAuditEntry(next, note)};
}

function endReplacement(state: ControlState, key: string, now: WallMs): Outcome {
  if (!state.config.replacements.has(key)) {
    return {result: {kind: 'ok'}, state};
  }
  const next = withRevision(state, [{key, record: null, table: 'replacements'}]);
  const note = {action: 'replaced' as const, actor: 'control', at: now, detail: key};
  return {result: {kind: 'ok'}, state: withAuditEntry(next, note)};
}

function applyCommand(state: ControlState, command: ControlCommand): Outcome {
  switch (command.type) {
    case 'bootstrap':
      return bootstrap(state, command.changes, command.now);
    case 'confirm':
      return confirmPlan(state, command);
    case 'endReplacement':
      return endReplacement(state, command.key, command.now);
    case 'note':
      return {result: {kind: 'ok'}, state: withAuditEntry(state, {...command, at: command.now})};
    case 'plan':
      return createPlan(state, command);
    default:
      return unreachable(command);
  }
}

/**
 * Applies one command.
 *
 * @param state current state
 * @param command command to apply
 */
export function updateControl(
  state: ControlState,
  command: ControlCommand,
): MachineResult<ControlState> & {readonly result: ControlCommandResult} {
  const {result, state: next} = applyCommand(state, command);
  return {blobs: [], result, state: next};
}

/**
 * Returns the changes from a revision to the current one, or the whole configuration when the history no longer covers
 * them.
 *
 * @param state the control state
 * @param revision revision that the VM has
 */
export function changesAfter(
  state: ControlState,
  revision: number,
): {readonly changes: readonly ConfigChange[]; readonly whole: boolean} {
  const first = state.history.first()?.revision ?? state.revision + 1;
  if (revision + 1 < first || revision > state.revision) {
    return {changes: configToChanges(state.config), whole: true};
  }
  const changes = state.history
    .filter((entry) => entry.revision > revision)
    .flatMap((entry) => entry.changes)
    .toArray();
  return {changes, whole: false};
}

interface EncodedControl {
  readonly audit: readonly AuditEntry[];
  readonly auditCount: number;
  readonly changes: readonly ConfigChange[];
  readonly history: readonly RevisionChange[];
  readonly plans: readonly PlanRecord[];
  readonly revision: number;
}

/** The control group as a state machine for a replication group. */
export const controlMachine: ReplicaMachine<ControlState> = {
  apply: (state, command) => updateControl(state, decodeValue<ControlCommand>(command)),
  blobEnd: () => 0,
  decode: (bytes) => {
    const encoded = decodeValue<EncodedControl>(bytes);
    return {
      audit: List(encoded.audit),
      auditCount: encoded.auditCount,
      config: applyChanges(EMPTY_CONFIG, encoded.changes),
      history: List(encoded.history),
      plans: ImmutableMap(encoded.plans.map((stored) => [stored.id, stored])),
      revision: encoded.revision,
    };
  },
  encode: (state) => {
    const encoded: EncodedControl = {
      audit: state.audit.toArray(),
      auditCount: state.auditCount,
      changes: configToChanges(state.config),
      history: state.history.toArray(),
      plans: [...state.plans.values()],
      revision: state.revision,
    };
    return encodeValue(encoded);
  },
  initial: () => INITIAL_CONTROL_STATE,
};
