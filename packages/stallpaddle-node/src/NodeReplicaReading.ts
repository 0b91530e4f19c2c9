/** What one replica of the control group tells of its state and its log, with or without a leader. */
import type {FleetConfig, FleetState, ReplicaReading, StoredConfig} from 'stallpaddle-fleet';
import type {ReplicaDriver} from 'stallpaddle-replication';

import {
  knownSoftware,
  knownSuspects,
  leavingEngines,
  pendingConfigVersion,
} from 'stallpaddle-fleet';

/**
 * Reads a replica. Unlike a leader's answers, the reading may be outdated, and it includes entries that may not be committed.
 *
 * @param driver the replica
 * @param entries number of entry VMs recorded on its disk
 * @param configAfter version of the configuration that the asking process holds
 * @param publicConfig removes what is not sent to other processes
 */
export function readReplica(
  {localState, status}: Pick<ReplicaDriver<FleetState>, 'localState' | 'status'>,
  entries: number,
  configAfter: number,
  publicConfig: (config: StoredConfig | null) => FleetConfig | null,
): ReplicaReading {
  const {applied, log, self} = status;
  const commands = log
    .entriesFrom(applied + 1, Infinity)
    .flatMap(({payload}) => (payload.kind === 'command' ? [payload.data] : []));
  const config = publicConfig(localState.config);
  return {
    config: (config?.version ?? -Infinity) > configAfter ? config : null,
    entries,
    leaving: leavingEngines(localState, commands),
    pendingConfig: pendingConfigVersion(localState, commands),
    replica: self,
    software: knownSoftware(localState, commands),
    suspects: {
      end: {index: log.lastIndex, term: log.lastTerm},
      ...knownSuspects(localState, commands),
    },
    voters: log.members.voters,
  };
}
