/**
 * The control group as a pure state machine: plans, confirms, revisions, audit trail.
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

/** Audit lines kept in memory; at 600 changes a day this is more than a week. */
const AUDIT_KEPT = 20_000;
/** Revisions kept for VMs that lag; one that lags more gets the whole configuration. */
const HISTORY_KEPT = 1_000;
/** Plans kept, for resent confirms. */
const PLANS_KEPT = 2_000;

/** A control group that has decided nothing. */
export const INITIAL_CONTROL_STATE: ControlState = {
  audit: List<AuditEntry>(),
  auditCount: 0,
  config: EMPTY_CONFIG,
  history: List<RevisionChange>(),
  plans: ImmutableMap<string, PlanRecord>(),
  revision: 0,
};

type Note = Pick<AuditEntry, 'action' | 'actor' | 'at' | 'detail'> & {readonly planId?: string};

function withNote(state: ControlState, note: Note): ControlState {
  const {action, actor, at, detail, planId = null} = note;
  const number = state.auditCount + 1;
  const entry: AuditEntry = {action, actor, at, detail, number, planId, revision: state.revision};
  return {...state, audit: state.audit.push(entry).takeLast(AUDIT_KEPT), auditCount: number};
}

function withRevision(state: ControlState, changes: readonly ConfigChange[]): ControlState {
  const revision = state.revision + 1;
  return {
    ...state,
    config: applyChanges(state.config, changes),
    history: state.history.push({changes, revision}).takeLast(HISTORY_KEPT),
    revision,
  };
}

function withPlan(state: ControlState, plan: PlanRecord): ControlState {
  let plans = state.plans.set(plan.id, plan);
  if (plans.size > PLANS_KEPT) {
    const oldest = plans.valueSeq().minBy((known) => known.at)!;
    plans = plans.remove(oldest.id);
  }
  return {...state, plans};
}

interface Outcome {
  readonly answer: ControlCommandResult;
  readonly state: ControlState;
}

function refused(
  state: ControlState,
  code: 'badRequest' | 'conflict' | 'notFound',
  message: string,
): Outcome {
  return {answer: {code, kind: 'refused', message}, state};
}

function plan(state: ControlState, command: Extract<ControlCommand, {type: 'plan'}>): Outcome {
  const {intent, now, operator, planId} = command;
  const known = state.plans.get(planId);
  if (known !== undefined) {
    return {answer: {kind: 'plan', plan: known}, state};
  }
  const result = planIntent(state.config, intent);
  if (result.kind === 'refused') {
    const note = {
      action: 'refuse' as const,
      actor: operator,
      at: now,
      detail: `${intent.kind}: ${result.reason}`,
    };
    return refused(withNote(state, note), 'badRequest', result.reason);
  }
  const record: PlanRecord = {
    at: now,
    basis: state.revision,
    content: result.content,
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
  return {answer: {kind: 'plan', plan: record}, state: withNote(withPlan(state, record), note)};
}

/** Who changed what since a revision, for the operator who lost a race. */
function changesSince(state: ControlState, revision: number): string {
  return [...state.plans.values()]
    .flatMap((known) =>
      known.state.kind === 'confirmed' && known.state.revision > revision
        ? [`revision ${known.state.revision} by ${known.state.by}: ${known.intent.kind}`]
        : [],
    )
    .join('; ');
}

function confirm(
  state: ControlState,
  command: Extract<ControlCommand, {type: 'confirm'}>,
): Outcome {
  const {now, operator, planId} = command;
  const known = state.plans.get(planId);
  if (known === undefined) {
    return refused(state, 'notFound', `no plan ${planId}`);
  }
  // A resent confirm gets the first one's outcome.
  if (known.state.kind !== 'proposed') {
    return {answer: {kind: 'plan', plan: known}, state};
  }
  const fresh = known.basis === state.revision;
  const outcome: PlanState = fresh
    ? {at: now, by: operator, kind: 'confirmed', revision: state.revision + 1}
    : {
        at: now,
        by: operator,
        kind: 'refused',
        reason: `made on revision ${known.basis}, now ${state.revision} (${changesSince(state, known.basis)})`,
      };
  const ended: PlanRecord = {...known, state: outcome};
  const next = fresh ? withRevision(state, known.content.changes) : state;
  const note: Note = {
    action: fresh ? 'confirm' : 'refuse',
    actor: operator,
    at: now,
    detail: outcome.kind === 'refused' ? outcome.reason : known.intent.kind,
    planId,
  };
  return {answer: {kind: 'plan', plan: ended}, state: withNote(withPlan(next, ended), note)};
}

function bootstrap(state: ControlState, changes: readonly ConfigChange[], now: WallMs): Outcome {
  if (state.revision > 0) {
    return {answer: {kind: 'ok'}, state};
  }
  const next = withRevision(state, changes);
  const note = {
    action: 'start' as const,
    actor: 'settings',
    at: now,
    detail: 'first configuration',
  };
  return {answer: {kind: 'ok'}, state: withNote(next, note)};
}

function endReplacement(state: ControlState, key: string, now: WallMs): Outcome {
  if (!state.config.replacements.has(key)) {
    return {answer: {kind: 'ok'}, state};
  }
  const next = withRevision(state, [{key, record: null, table: 'replacements'}]);
  const note = {action: 'replaced' as const, actor: 'control', at: now, detail: key};
  return {answer: {kind: 'ok'}, state: withNote(next, note)};
}

function run(state: ControlState, command: ControlCommand): Outcome {
  switch (command.type) {
    case 'bootstrap':
      return bootstrap(state, command.changes, command.now);
    case 'confirm':
      return confirm(state, command);
    case 'endReplacement':
      return endReplacement(state, command.key, command.now);
    case 'note':
      return {answer: {kind: 'ok'}, state: withNote(state, {...command, at: command.now})};
    case 'plan':
      return plan(state, command);
    default:
      return unreachable(command);
  }
}

/**
 * Applies one command.
 *
 * @param state current state
 * @param command what to change
 */
export function updateControl(
  state: ControlState,
  command: ControlCommand,
): MachineResult<ControlState> & {readonly result: ControlCommandResult} {
  const {answer, state: next} = run(state, command);
  return {blobs: [], result: answer, state: next};
}

/**
 * Changes that bring a VM from a revision to the present one, or all of them when it lags too much.
 *
 * @param state the control state
 * @param revision what the VM has
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
    .filter((known) => known.revision > revision)
    .flatMap((known) => known.changes)
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

/** The control group as a replicated state machine. */
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
      plans: ImmutableMap(encoded.plans.map((known) => [known.id, known])),
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
