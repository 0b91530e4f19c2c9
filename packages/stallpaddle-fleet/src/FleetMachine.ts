/**
 * The control group's state as a replicated state machine. All commands may be repeated without harm.
 */
import type {EngineId} from 'stallpaddle';
import type {GroupMs, MachineResult, ReplicaMachine} from 'stallpaddle-replication';

import {decodeValue, encodeValue, unreachable} from 'stallpaddle';

import type {FleetSuspect, FleetSuspects} from './FleetSuspects';
import type {
  EngineReport,
  FleetAnswer,
  FleetCommand,
  FleetEngine,
  FleetState,
  RemoveEngine,
} from './FleetTypes';

import {afterEngineEnd, afterRelease, afterTick} from './FleetSuspects';
import {UNKNOWN_START} from './FleetTypes';

/** Ended engines that are remembered: at 290 restarts a day, more than a week of them. */
const GONE_ENGINES_KEPT = 4_096;

const EMPTY_FLEET: FleetState = {
  clockMs: 0,
  config: null,
  engines: new Map(),
  enginesRevision: 0,
  goneEngines: new Map(),
  jobsFounders: null,
  stores: new Map(),
  suspects: new Map(),
};

interface FleetStep {
  readonly answer: FleetAnswer;
  readonly state: FleetState;
}

const APPLIED: FleetAnswer = {kind: 'applied'};

function unchanged(state: FleetState): FleetStep {
  return {answer: APPLIED, state};
}

function withoutEngines(state: FleetState, ended: ReadonlyMap<EngineId, number>): FleetState {
  const engines = new Map(state.engines);
  const gone = new Map(state.goneEngines);
  for (const [id, startedAtMs] of ended) {
    engines.delete(id);
    // Last again, also when an earlier start stood further ahead.
    gone.delete(id);
    gone.set(id, startedAtMs);
  }
  const goneEngines = new Map([...gone].slice(-GONE_ENGINES_KEPT));
  return {...state, engines, enginesRevision: state.enginesRevision + 1, goneEngines};
}

function isSame(known: FleetEngine, report: EngineReport): boolean {
  return (
    known.address === report.address &&
    known.service === report.service &&
    known.slots === report.slots &&
    known.draining === report.draining
  );
}

/** Other engines that have a report's address. */
function othersAt(state: FleetState, {address, id}: EngineReport): readonly FleetEngine[] {
  return [...state.engines.values()].filter(
    (other) => other.address === address && other.id !== id,
  );
}

/** Whether a service is configured; while nothing is, every service may be. */
function isConfigured({config}: FleetState, service: string): boolean {
  return config === null || config.services.some(({name}) => name === service);
}

/**
 * Whether a report is of a start that has ended: its engine is gone, or has started again since. A link that was cut may
 * bring such a report long after.
 *
 * @param state the group's state
 * @param report the report
 */
export function isOutdated(state: FleetState, {id, startedAtMs}: EngineReport): boolean {
  const endedAt = state.goneEngines.get(id);
  const runsSince = state.engines.get(id)?.startedAtMs ?? startedAtMs;
  return (endedAt !== undefined && startedAtMs <= endedAt) || startedAtMs < runsSince;
}

/**
 * Engines that have a report's address and say that they started later. The report is late if one of them lives; but
 * engines may disagree on the time of day, so an address whose holder is silent may go to one that seems to be older.
 *
 * @param state the group's state
 * @param report the report
 */
export function laterHolders(state: FleetState, report: EngineReport): readonly EngineId[] {
  return othersAt(state, report)
    .filter(({startedAtMs}) => report.startedAtMs < startedAtMs)
    .map(({id}) => id);
}

/**
 * Whether a report would change what is known of an engine, so that reports that tell nothing new need
 * not be recorded.
 *
 * @param state the group's state
 * @param report the report
 */
export function changesEngine(state: FleetState, report: EngineReport): boolean {
  if (isOutdated(state, report)) {
    return false;
  }
  const known = state.engines.get(report.id);
  if (known === undefined || report.startedAtMs > known.startedAtMs) {
    return true;
  }
  // No engine goes over to a service that nobody configured: such a report comes from somebody else.
  const isOwn = known.service === report.service || isConfigured(state, report.service);
  return isOwn && report.sequence > known.sequence && !isSame(known, report);
}

function reportEngine(state: FleetState, report: EngineReport): FleetStep {
  if (!changesEngine(state, report)) {
    return unchanged(state);
  }
  const known = state.engines.get(report.id);
  // An engine that leaves never comes back but by a new start: a report sent before may arrive after.
  const hasLeft = known?.startedAtMs === report.startedAtMs && known.draining;
  // A report for a service that is not configured names no engine to use, so it ends none either.
  const reused = isConfigured(state, report.service) ? othersAt(state, report) : [];
  const ended = new Map(reused.map(({id, startedAtMs}) => [id, startedAtMs]));
  const cleared = ended.size > 0 ? withoutEngines(state, ended) : state;
  const draining = report.draining || hasLeft;
  const engines = new Map(cleared.engines).set(report.id, {...report, draining});
  return unchanged({...cleared, engines, enginesRevision: cleared.enginesRevision + 1});
}

function removeEngine(state: FleetState, {id, startedAtMs}: RemoveEngine): FleetStep {
  const running = state.engines.get(id)?.startedAtMs;
  const endedAt = state.goneEngines.get(id);
  const ending = startedAtMs ?? running ?? endedAt ?? UNKNOWN_START;
  const isKnown = endedAt !== undefined && ending <= endedAt;
  // The word of an earlier start may come after the next one has begun.
  const isEarlier = running !== undefined && ending < running;
  return unchanged(isKnown || isEarlier ? state : withoutEngines(state, new Map([[id, ending]])));
}

function withSuspects(state: FleetState, suspects: FleetSuspects): FleetStep {
  return unchanged(suspects === state.suspects ? state : {...state, suspects});
}

function step(state: FleetState, command: FleetCommand): FleetStep {
  switch (command.kind) {
    case 'foundJobs':
      return unchanged(
        state.jobsFounders === null ? {...state, jobsFounders: command.founders} : state,
      );
    case 'noteEngineEnd':
      return withSuspects(state, afterEngineEnd(state.suspects, command, state.clockMs));
    case 'putConfig': {
      const held = state.config?.version ?? -Infinity;
      return command.config.version > held
        ? unchanged({...state, config: command.config})
        : {answer: {kind: 'held', version: held}, state};
    }
    case 'releaseRequest':
      return withSuspects(state, afterRelease(state.suspects, command));
    case 'removeEngine':
      return removeEngine(state, command);
    case 'reportEngine':
      return reportEngine(state, command.report);
    case 'retireStore': {
      const known = state.stores.get(command.name);
      if (known === undefined) {
        return {answer: {kind: 'unknownStore'}, state};
      }
      const stores = new Map(state.stores).set(command.name, {...known, retiring: true});
      return unchanged({...state, stores});
    }
    case 'seeStore': {
      const {name, replica} = command;
      const known = state.stores.get(name);
      // Another disk under the same name is a new VM, which nobody asked to empty.
      const retiring = known?.replica === replica && known.retiring;
      const stores = new Map(state.stores).set(name, {name, replica, retiring});
      return unchanged({...state, stores});
    }
    case 'tick':
      return unchanged(state);
    default:
      return unreachable(command);
  }
}

interface EncodedFleet extends Omit<
  FleetState,
  'clockMs' | 'engines' | 'goneEngines' | 'stores' | 'suspects'
> {
  /** Releases before wrote neither this nor suspects. */
  readonly clockMs?: GroupMs;
  readonly engines: readonly FleetEngine[];
  /** With their last starts; releases before wrote the names alone. */
  readonly goneEngines: readonly (EngineId | readonly [EngineId, number])[];
  readonly stores: readonly (FleetState['stores'] extends ReadonlyMap<string, infer S>
    ? S
    : never)[];
  readonly suspects?: readonly FleetSuspect[];
}

/** What releases before wrote: their engines didn't say when they started. */
type WithOptionalStart<Report extends {readonly startedAtMs: number | null}> = Omit<
  Report,
  'startedAtMs'
> &
  Partial<Pick<Report, 'startedAtMs'>>;

function withStart(engine: WithOptionalStart<FleetEngine>): FleetEngine {
  return {...engine, startedAtMs: engine.startedAtMs ?? UNKNOWN_START};
}

function decodeCommand(bytes: Uint8Array): FleetCommand {
  const command = decodeValue<FleetCommand>(bytes);
  if (command.kind === 'removeEngine') {
    return {...command, startedAtMs: command.startedAtMs ?? null};
  }
  return command.kind === 'reportEngine'
    ? {...command, report: withStart(command.report)}
    : command;
}

/** See the module's comment. */
export const fleetMachine: ReplicaMachine<FleetState> = {
  apply: (state, command, elapsedMs): MachineResult<FleetState> => {
    const clockMs = state.clockMs + elapsedMs;
    const suspects = afterTick(state.suspects, clockMs);
    const {answer, state: next} = step({...state, clockMs, suspects}, decodeCommand(command));
    return {blobs: [], result: answer, state: next};
  },
  blobEnd: () => 0,
  decode: (bytes) => {
    const encoded = decodeValue<EncodedFleet>(bytes);
    return {
      ...encoded,
      clockMs: encoded.clockMs ?? 0,
      engines: new Map(encoded.engines.map((engine) => [engine.id, withStart(engine)])),
      goneEngines: new Map(
        encoded.goneEngines.map((end) => (typeof end === 'string' ? [end, UNKNOWN_START] : end)),
      ),
      stores: new Map(encoded.stores.map((store) => [store.name, store])),
      suspects: new Map((encoded.suspects ?? []).map((suspect) => [suspect.digest, suspect])),
    };
  },
  encode: (state) => {
    const encoded: EncodedFleet = {
      ...state,
      engines: [...state.engines.values()],
      goneEngines: [...state.goneEngines],
      stores: [...state.stores.values()],
      suspects: [...state.suspects.values()],
    };
    return encodeValue(encoded);
  },
  initial: () => EMPTY_FLEET,
};
