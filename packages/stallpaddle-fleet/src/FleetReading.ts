/** What a replica knows by its whole log, also by entries that it has not applied because they may not be committed. */
import type {EngineId} from 'stallpaddle';

import type {SuspectPartView} from './FleetSuspectParts';
import type {FleetCommand, FleetState} from './FleetTypes';

import {applyCommand, decodeCommand} from './FleetMachine';
import {suspectPartViews} from './FleetPartCauses';
import {softwareKey} from './FleetSoftware';
import {suspectView, type SuspectView} from './FleetSuspects';

/** Ended engines that a replica tells without a leader; processes that have started since don't know earlier ones. */
const MAX_TOLD_GONE = 256;

/**
 * Software versions that a replica knows, by `softwareKey`.
 *
 * @param state its state
 * @param commands encoded commands of its log that it has not applied, committed or not
 */
export function knownSoftware(
  {engines, formerSoftware}: FleetState,
  commands: readonly Uint8Array[],
): readonly string[] {
  const reported = commands
    .map(decodeCommand)
    .flatMap((command) => (command.kind === 'reportEngine' ? [command.report] : []));
  const present = [...engines.values(), ...reported].map(softwareKey);
  return [...new Set([...present, ...formerSoftware.keys()])];
}

/**
 * Engines that a replica knows to drain or to have left, the latest of them.
 *
 * @param state its state
 * @param commands encoded commands of its log that it has not applied, committed or not
 */
export function leavingEngines(
  {engines, goneEngines}: FleetState,
  commands: readonly Uint8Array[],
): readonly EngineId[] {
  const draining = [...engines.values()].filter((engine) => engine.draining).map(({id}) => id);
  const gone = [...goneEngines.keys()].slice(-MAX_TOLD_GONE).filter((id) => !engines.has(id));
  const pending = commands.map(decodeCommand).flatMap((command) => {
    if (command.kind === 'removeEngine') {
      return [command.id];
    }
    return command.kind === 'reportEngine' && command.report.draining ? [command.report.id] : [];
  });
  return [...new Set([...draining, ...gone, ...pending])];
}

/**
 * Version of the newest configuration that a replica has in its log and has not applied; null if none is newer than its own.
 *
 * @param state its state
 * @param commands encoded commands of its log that it has not applied, committed or not
 */
export function pendingConfigVersion(
  {config}: FleetState,
  commands: readonly Uint8Array[],
): null | number {
  const held = config?.version ?? -Infinity;
  const newest = commands
    .map(decodeCommand)
    .reduce(
      (version, command) =>
        command.kind === 'putConfig' ? Math.max(version, command.config.version) : version,
      held,
    );
  return newest > held ? newest : null;
}

function concernsSuspects({kind}: FleetCommand): boolean {
  return (
    kind === 'noteEngineEnd' ||
    kind === 'releaseParts' ||
    kind === 'releaseRequest' ||
    kind === 'tryParts'
  );
}

/**
 * Requests and parts of prompts that a replica suspects.
 *
 * @param state its state
 * @param commands encoded commands of its log that it has not applied, committed or not
 */
export function knownSuspects(
  state: FleetState,
  commands: readonly Uint8Array[],
): {readonly parts: readonly SuspectPartView[]; readonly requests: readonly SuspectView[]} {
  const {suspectParts, suspects} = commands
    .map(decodeCommand)
    .filter(concernsSuspects)
    .reduce((before, command) => applyCommand(before, command).state, state);
  return {
    parts: suspectPartViews(suspectParts, suspects),
    requests: [...suspects.values()].map(suspectView),
  };
}
