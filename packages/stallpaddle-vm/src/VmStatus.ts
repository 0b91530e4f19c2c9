/** The fleet's status as one VM sees it, for operators. */
import type {Clock, VmId} from 'stallpaddle';
import type {LedgerCounters, LedgerPorts} from 'stallpaddle-ledger';
import type {MembershipState} from 'stallpaddle-membership';
import type {RoutingState} from 'stallpaddle-routing';

import {isLive} from 'stallpaddle-membership';
import {knownLeader} from 'stallpaddle-replication';
import {onlineStreams} from 'stallpaddle-routing';

import type {ConfigView} from './VmConfigView';
import type {VmGroups} from './VmGroups';

/** Sources of the status. */
export interface StatusSources {
  readonly batchItemsReported: number;
  readonly clock: Clock;
  readonly config: ConfigView;
  readonly groups: VmGroups | undefined;
  readonly ledger: LedgerPorts;
  readonly membership: MembershipState;
  readonly ownedEngines: readonly string[];
  readonly routing: RoutingState;
  readonly vm: VmId;
}

/** Status of a replica on the VM called. */
export interface ReplicaStatus {
  readonly applied: number;
  readonly commits: number;
  readonly group: string;
  readonly leader: string | null;
  readonly learners: readonly string[];
  readonly replayed: number;
  readonly role: string;
  readonly self: string;
  readonly snapshotIndex: number;
  readonly syncs: number;
  readonly term: number;
  readonly voters: readonly string[];
}

/** Response to a status call. */
export interface FleetStatus {
  readonly batchItemsReported: number;
  readonly configFreshAgeMs: number | null;
  readonly engines: readonly {
    readonly batch: number;
    readonly engine: string;
    readonly loadAgeMs: number | null;
    readonly online: number;
    readonly owned: boolean;
    readonly role: string;
    readonly slots: number;
    readonly weights: readonly string[];
  }[];
  readonly ledger: readonly {
    readonly counters: LedgerCounters;
    readonly leases: number;
    readonly openItems: number;
    readonly runningJobs: number;
    readonly shard: number;
  }[];
  readonly replicas: readonly ReplicaStatus[];
  readonly revision: number;
  readonly vm: VmId;
  readonly vms: readonly {
    readonly heardAgeMs: number;
    readonly leaving: boolean;
    readonly live: boolean;
    readonly revision: number;
    readonly vm: VmId;
    readonly zone: string;
  }[];
}

function replicaStatuses(groups: VmGroups | undefined): readonly ReplicaStatus[] {
  return (groups?.replicas ?? []).map(([group, replica]) => {
    const {applied, log, role, self, term} = replica.status;
    return {
      applied,
      ...replica.counters,
      group,
      leader: knownLeader(replica.status),
      learners: log.members.learners,
      replayed: replica.replayed,
      role: role.kind,
      self,
      snapshotIndex: log.snapshot.index,
      term,
      voters: log.members.voters,
    };
  });
}

/**
 * Collects the status of the fleet.
 *
 * @param sources sources of the status
 */
export async function describeStatus(sources: StatusSources): Promise<FleetStatus> {
  const {clock, config, ledger, membership, ownedEngines, routing} = sources;
  const now = clock.monotonicMs();
  const shards = await Promise.all(
    ledger.all.map(async (port, shard) => {
      const {type: _type, ...summary} = await port.query({type: 'summary'});
      return {...summary, shard};
    }),
  );
  return {
    batchItemsReported: sources.batchItemsReported,
    configFreshAgeMs: Number.isFinite(config.freshAt) ? Math.round(now - config.freshAt) : null,
    engines: [...routing.engines.values()].map((view) => ({
      batch: view.load.batch,
      engine: view.setup.engine,
      loadAgeMs: Number.isFinite(view.loadAt) ? Math.round(now - view.loadAt) : null,
      online: onlineStreams(view),
      owned: ownedEngines.includes(view.setup.engine),
      role: view.setup.role,
      slots: view.setup.slots,
      weights: view.load.weights,
    })),
    ledger: shards,
    replicas: replicaStatuses(sources.groups),
    revision: config.revision,
    vm: sources.vm,
    vms: [...membership.entries.values()].map((entry) => ({
      heardAgeMs: Math.round(now - entry.lastSeenAt),
      leaving: entry.facts.leaving || membership.platformLeaving.has(entry.facts.vm),
      live: isLive(entry, now),
      revision: entry.facts.revision,
      vm: entry.facts.vm,
      zone: entry.facts.zone,
    })),
  };
}
