/**
 * The control group's replicated state machine. All commands are idempotent.
 */
import type {EngineId} from 'stallpaddle';
import type {GroupMs, MachineResult, ReplicaMachine} from 'stallpaddle-replication';

import {decodeValue, encodeValue, unreachable} from 'stallpaddle';

import type {FormerSoftware} from './FleetSoftware';
import type {TryParts} from './FleetSuspectParts';
import type {FleetSuspect, NoteEngineEnd} from './FleetSuspects';
import type {
  EngineReport,
  FleetAnswer,
  FleetCommand,
  FleetEngine,
  FleetState,
  RemoveEngine,
} from './FleetTypes';

import {afterEngineChange, afterExpiry, streamLifeMs} from './FleetSoftware';
import {
  afterPartsEnd,
  afterPartsRelease,
  afterPartsTick,
  afterPartsTrial,
  type FleetSuspectPart,
} from './FleetSuspectParts';
import {afterEngineEnd, afterRelease, afterTick} from './FleetSuspects';
import {UNKNOWN_SOFTWARE, UNKNOWN_START} from './FleetTypes';

/** Bounds the memory of ended incarnations, which rejects late reports of removed engines. */
const MAX_GONE_ENGINES = 4_096;

const EMPTY_FLEET: FleetState = {
  clockMs: 0,
  config: null,
  engines: new Map(),
  enginesRevision: 0,
  formerSoftware: new Map(),
  goneEngines: new Map(),
  jobsFounders: null,
  stores: new Map(),
  suspectParts: new Map(),
  suspects: new Map(),
};

interface FleetStep {
  readonly answer: FleetAnswer;
  readonly state: FleetState;
}

const APPLIED: FleetAnswer = {kind: 'applied'};

function applied(state: FleetState): FleetStep {
  return {answer: APPLIED, state};
}

function withoutEngines(state: FleetState, ended: ReadonlyMap<EngineId, number>): FleetState {
  const engines = new Map(state.engines);
  const gone = new Map(state.goneEngines);
  for (const [id, startedAtMs] of ended) {
    engines.delete(id);
    // Deleting first moves the engine to the end of the insertion order.
    gone.delete(id);
    gone.set(id, startedAtMs);
  }
  const goneEngines = new Map([...gone].slice(-MAX_GONE_ENGINES));
  return {...state, engines, enginesRevision: state.enginesRevision + 1, goneEngines};
}

function isSame(known: FleetEngine, report: EngineReport): boolean {
  return (
    known.address === report.address &&
    known.service === report.service &&
    known.slots === report.slots &&
    known.softwareVersion === report.softwareVersion &&
    known.draining === report.draining
  );
}

/** Other engines registered at a report's address. */
function otherEnginesAt(state: FleetState, {address, id}: EngineReport): readonly FleetEngine[] {
  return [...state.engines.values()].filter(
    (other) => other.address === address && other.id !== id,
  );
}

/** Whether a service is configured; without a configuration, every service counts as configured. */
function isConfigured({config}: FleetState, service: string): boolean {
  return config === null || config.services.some(({name}) => name === service);
}

/**
 * Whether a report comes from an incarnation that has ended: its engine was removed, or has restarted since. A network
 * partition may delay such reports.
 *
 * @param state the group's state
 * @param report the report
 */
export function isOutdated(state: FleetState, {id, startedAtMs}: EngineReport): boolean {
  const endedAt = state.goneEngines.get(id);
  const currentStart = state.engines.get(id)?.startedAtMs ?? startedAtMs;
  return (endedAt !== undefined && startedAtMs <= endedAt) || startedAtMs < currentStart;
}

/**
 * Engines registered at a report's address with a later start time. The report is late if one of them is alive; but
 * engines' wall clocks may differ, so an engine that seems older may take the address of one that sends no reports.
 *
 * @param state the group's state
 * @param report the report
 */
export function laterHolders(state: FleetState, report: EngineReport): readonly EngineId[] {
  return otherEnginesAt(state, report)
    .filter(({startedAtMs}) => report.startedAtMs < startedAtMs)
    .map(({id}) => id);
}

/**
 * Whether a report would change the state; other reports need not be replicated.
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
  // An engine cannot move to an unconfigured service: such a report comes from a different sender.
  const isOwn = known.service === report.service || isConfigured(state, report.service);
  return isOwn && report.sequence > known.sequence && !isSame(known, report);
}

function reportEngine(state: FleetState, report: EngineReport): FleetStep {
  if (!changesEngine(state, report)) {
    return applied(state);
  }
  const known = state.engines.get(report.id);
  // Draining is final within one incarnation: a report sent before it began may arrive later.
  const hasLeft = known?.startedAtMs === report.startedAtMs && known.draining;
  // A report for an unconfigured service registers no usable engine, so it must not remove one.
  const replaced = isConfigured(state, report.service) ? otherEnginesAt(state, report) : [];
  const ended = new Map(replaced.map(({id, startedAtMs}) => [id, startedAtMs]));
  const cleared = ended.size > 0 ? withoutEngines(state, ended) : state;
  const draining = report.draining || hasLeft;
  const engines = new Map(cleared.engines).set(report.id, {...report, draining});
  return applied({...cleared, engines, enginesRevision: cleared.enginesRevision + 1});
}

function removeEngine(state: FleetState, {id, startedAtMs}: RemoveEngine): FleetStep {
  const running = state.engines.get(id)?.startedAtMs;
  const endedAt = state.goneEngines.get(id);
  const ending = startedAtMs ?? running ?? endedAt ?? UNKNOWN_START;
  const isRecorded = endedAt !== undefined && ending <= endedAt;
  // The removal of an earlier incarnation may arrive after the next one has registered.
  const isEarlier = running !== undefined && ending < running;
  return applied(isRecorded || isEarlier ? state : withoutEngines(state, new Map([[id, ending]])));
}

function withChanges(
  state: FleetState,
  changes: Partial<Pick<FleetState, 'suspectParts' | 'suspects'>>,
): FleetStep {
  const next = {...state, ...changes};
  const isSame = next.suspectParts === state.suspectParts && next.suspects === state.suspects;
  return applied(isSame ? state : next);
}

function noteEngineEnd(state: FleetState, end: NoteEngineEnd): FleetStep {
  const {clockMs, suspectParts, suspects} = state;
  return withChanges(state, {
    suspectParts: afterPartsEnd(suspectParts, end, clockMs),
    suspects: afterEngineEnd(suspects, end, clockMs),
  });
}

function tryParts(state: FleetState, request: TryParts): FleetStep {
  const suspectParts = afterPartsTrial(state.suspectParts, request, state.clockMs);
  return suspectParts === undefined
    ? {answer: {kind: 'trialDenied'}, state}
    : withChanges(state, {suspectParts});
}

/**
 * Applies a command, without the passage of time.
 *
 * @param state state before
 * @param command the command
 */
export function applyCommand(state: FleetState, command: FleetCommand): FleetStep {
  switch (command.kind) {
    case 'foundJobs':
      return applied(
        state.jobsFounders === null ? {...state, jobsFounders: command.founders} : state,
      );
    case 'noteEngineEnd':
      return noteEngineEnd(state, command);
    case 'putConfig': {
      const current = state.config?.version ?? -Infinity;
      return command.config.version > current
        ? applied({...state, config: command.config})
        : {answer: {kind: 'held', version: current}, state};
    }
    case 'releaseParts':
      return withChanges(state, {
        suspectParts: afterPartsRelease(state.suspectParts, command, state.clockMs),
      });
    case 'releaseRequest':
      return withChanges(state, {suspects: afterRelease(state.suspects, command)});
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
      return applied({...state, stores});
    }
    case 'seeStore': {
      const {name, replica} = command;
      const known = state.stores.get(name);
      // A different disk under the same name is a new VM, whose retirement was not requested.
      const retiring = known?.replica === replica && known.retiring;
      const stores = new Map(state.stores).set(name, {name, replica, retiring});
      return applied({...state, stores});
    }
    case 'tick':
      return applied(state);
    case 'tryParts':
      return tryParts(state, command);
    default:
      return unreachable(command);
  }
}

/** Remembers the software versions that a change of the engines has removed. */
function withFormerSoftware(before: FleetState, {answer, state}: FleetStep): FleetStep {
  const {clockMs, config, engines, formerSoftware} = state;
  if (engines === before.engines) {
    return {answer, state};
  }
  const until = clockMs + streamLifeMs(config);
  const former = afterEngineChange(
    formerSoftware,
    before.engines.values(),
    engines.values(),
    until,
  );
  return {answer, state: {...state, formerSoftware: former}};
}

interface EncodedFleet extends Omit<
  FleetState,
  'clockMs' | 'engines' | 'formerSoftware' | 'goneEngines' | 'stores' | 'suspectParts' | 'suspects'
> {
  /** Earlier releases wrote neither this nor suspects. */
  readonly clockMs?: GroupMs;
  readonly engines: readonly FleetEngine[];
  /** Not written by earlier releases. */
  readonly formerSoftware?: readonly (FormerSoftware extends ReadonlyMap<infer K, infer V>
    ? readonly [K, V]
    : never)[];
  /** With their latest ended incarnations; earlier releases wrote only the IDs. */
  readonly goneEngines: readonly (EngineId | readonly [EngineId, number])[];
  readonly stores: readonly (FleetState['stores'] extends ReadonlyMap<string, infer S>
    ? S
    : never)[];
  /** Not written by earlier releases. */
  readonly suspectParts?: readonly FleetSuspectPart[];
  readonly suspects?: readonly FleetSuspect[];
}

/** Form written by earlier releases, whose engines reported neither start times nor software versions. */
type EarlierReport = Omit<FleetEngine, 'softwareVersion' | 'startedAtMs'> &
  Partial<Pick<FleetEngine, 'softwareVersion' | 'startedAtMs'>>;

function completeReport(report: EarlierReport): FleetEngine {
  const {softwareVersion = UNKNOWN_SOFTWARE, startedAtMs = UNKNOWN_START} = report;
  return {...report, softwareVersion, startedAtMs};
}

/**
 * Decodes a command, also one of an earlier release.
 *
 * @param bytes the command as it is in the log
 */
export function decodeCommand(bytes: Uint8Array): FleetCommand {
  const command = decodeValue<FleetCommand>(bytes);
  if (command.kind === 'removeEngine') {
    return {...command, startedAtMs: command.startedAtMs ?? null};
  }
  return command.kind === 'reportEngine'
    ? {...command, report: completeReport(command.report)}
    : command;
}

/** Applies registrations, removals, configurations and engine exits to the control group's state. */
export const fleetMachine: ReplicaMachine<FleetState> = {
  apply: (state, command, elapsedMs): MachineResult<FleetState> => {
    const clockMs = state.clockMs + elapsedMs;
    const suspects = afterTick(state.suspects, clockMs);
    const suspectParts = afterPartsTick(state.suspectParts, clockMs);
    const formerSoftware = afterExpiry(state.formerSoftware, clockMs);
    const before = {...state, clockMs, formerSoftware, suspectParts, suspects};
    const {answer, state: next} = withFormerSoftware(
      before,
      applyCommand(before, decodeCommand(command)),
    );
    return {blobs: [], result: answer, state: next};
  },
  blobEnd: () => 0,
  decode: (bytes) => {
    const encoded = decodeValue<EncodedFleet>(bytes);
    return {
      ...encoded,
      clockMs: encoded.clockMs ?? 0,
      engines: new Map(encoded.engines.map((engine) => [engine.id, completeReport(engine)])),
      formerSoftware: new Map(encoded.formerSoftware ?? []),
      goneEngines: new Map(
        encoded.goneEngines.map((end) => (typeof end === 'string' ? [end, UNKNOWN_START] : end)),
      ),
      stores: new Map(encoded.stores.map((store) => [store.name, store])),
      suspectParts: new Map((encoded.suspectParts ?? []).map((suspect) => [suspect.part, suspect])),
      suspects: new Map((encoded.suspects ?? []).map((suspect) => [suspect.digest, suspect])),
    };
  },
  encode: (state) => {
    const encoded: EncodedFleet = {
      ...state,
      engines: [...state.engines.values()],
      formerSoftware: [...state.formerSoftware],
      goneEngines: [...state.goneEngines],
      stores: [...state.stores.values()],
      suspectParts: [...state.suspectParts.values()],
      suspects: [...state.suspects.values()],
    };
    return encodeValue(encoded);
  },
  initial: () => EMPTY_FLEET,
};
