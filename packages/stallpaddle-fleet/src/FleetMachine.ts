/**
 * The control group's state as a replicated state machine. All commands may be repeated without harm.
 */
import type {EngineId} from 'stallpaddle';
import type {MachineResult, ReplicaMachine} from 'stallpaddle-replication';

import {decodeValue, encodeValue, unreachable} from 'stallpaddle';

import type {EngineReport, FleetAnswer, FleetCommand, FleetEngine, FleetState} from './FleetTypes';

/** Ended engines that are remembered: at 290 restarts a day, more than a week of them. */
const GONE_ENGINES_KEPT = 4_096;

const EMPTY_FLEET: FleetState = {
  config: null,
  engines: new Map(),
  enginesRevision: 0,
  goneEngines: [],
  jobsFounders: null,
  stores: new Map(),
};

interface FleetStep {
  readonly answer: FleetAnswer;
  readonly state: FleetState;
}

const APPLIED: FleetAnswer = {kind: 'applied'};

function unchanged(state: FleetState): FleetStep {
  return {answer: APPLIED, state};
}

function withoutEngines(state: FleetState, gone: readonly EngineId[]): FleetState {
  const engines = new Map(state.engines);
  gone.forEach((id) => engines.delete(id));
  const goneEngines = [...state.goneEngines, ...gone].slice(-GONE_ENGINES_KEPT);
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

/**
 * Whether a report would change what is known of an engine, so that reports that tell nothing new need
 * not be recorded.
 *
 * @param state the group's state
 * @param report the report
 */
export function isNews(state: FleetState, report: EngineReport): boolean {
  if (state.goneEngines.includes(report.id)) {
    return false;
  }
  const known = state.engines.get(report.id);
  return known === undefined || (report.sequence > known.sequence && !isSame(known, report));
}

function reportEngine(state: FleetState, report: EngineReport): FleetStep {
  if (!isNews(state, report)) {
    return unchanged(state);
  }
  const known = state.engines.get(report.id);
  // An engine that leaves never comes back: a report sent before may arrive after.
  const draining = report.draining || known?.draining === true;
  const reusedBy = [...state.engines.values()]
    .filter(({address, id}) => address === report.address && id !== report.id)
    .map(({id}) => id);
  const cleared = reusedBy.length > 0 ? withoutEngines(state, reusedBy) : state;
  const engines = new Map(cleared.engines).set(report.id, {...report, draining});
  return unchanged({...cleared, engines, enginesRevision: cleared.enginesRevision + 1});
}

function removeEngine(state: FleetState, id: EngineId): FleetStep {
  return unchanged(state.goneEngines.includes(id) ? state : withoutEngines(state, [id]));
}

function step(state: FleetState, command: FleetCommand): FleetStep {
  switch (command.kind) {
    case 'foundJobs':
      return unchanged(
        state.jobsFounders === null ? {...state, jobsFounders: command.founders} : state,
      );
    case 'putConfig': {
      const held = state.config?.version ?? -Infinity;
      return command.config.version > held
        ? unchanged({...state, config: command.config})
        : {answer: {kind: 'held', version: held}, state};
    }
    case 'removeEngine':
      return removeEngine(state, command.id);
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
    default:
      return unreachable(command);
  }
}

interface EncodedFleet extends Omit<FleetState, 'engines' | 'stores'> {
  readonly engines: readonly FleetEngine[];
  readonly stores: readonly (FleetState['stores'] extends ReadonlyMap<string, infer S>
    ? S
    : never)[];
}

/** See the module's comment. */
export const fleetMachine: ReplicaMachine<FleetState> = {
  apply: (state, command): MachineResult<FleetState> => {
    const {answer, state: next} = step(state, decodeValue<FleetCommand>(command));
    return {blobs: [], result: answer, state: next};
  },
  blobEnd: () => 0,
  decode: (bytes) => {
    const encoded = decodeValue<EncodedFleet>(bytes);
    return {
      ...encoded,
      engines: new Map(encoded.engines.map((engine) => [engine.id, engine])),
      stores: new Map(encoded.stores.map((store) => [store.name, store])),
    };
  },
  encode: (state) => {
    const encoded: EncodedFleet = {
      ...state,
      engines: [...state.engines.values()],
      stores: [...state.stores.values()],
    };
    return encodeValue(encoded);
  },
  initial: () => EMPTY_FLEET,
};
