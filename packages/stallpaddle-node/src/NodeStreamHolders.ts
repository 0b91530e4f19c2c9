/** Selection of the VMs that hold the record of a stream. Pure. */
import {rendezvousOrder, type VmId, type ZoneId} from 'stallpaddle';

/** Entry VMs for each of those that may hold records. */
const VMS_PER_HOLDER = 4;
/** Smallest number of VMs that may hold records, where the fleet has as many. */
const MIN_HOLDERS = 16;

/** A VM that may hold records. */
export interface HolderCandidate {
  readonly host: VmId;
  readonly zone: ZoneId;
}

/**
 * VMs that may hold records at all: every VM keeps a connection to each of them, so large fleets use only a part. The choice
 * by hash changes little as VMs come and go.
 */
function holderCandidates(vms: readonly HolderCandidate[]): readonly HolderCandidate[] {
  const count = Math.max(MIN_HOLDERS, Math.ceil(vms.length / VMS_PER_HOLDER));
  if (vms.length <= count) {
    return vms;
  }
  const chosen = new Set(
    rendezvousOrder(
      '',
      vms.map(({host}) => host),
    ).slice(0, count),
  );
  return vms.filter(({host}) => chosen.has(host));
}

/**
 * Orders the VMs that are to hold a stream's record. Neighbours in the order are in different availability zones as far
 * as possible, so that the loss of one zone leaves a copy.
 *
 * @param firstAttempt first attempt of the stream
 * @param vms all entry VMs
 */
export function streamHolders(
  firstAttempt: string,
  vms: readonly HolderCandidate[],
): readonly VmId[] {
  const candidates = holderCandidates(vms);
  const zones = new Map(candidates.map(({host, zone}) => [host, zone]));
  const byRank = rendezvousOrder(firstAttempt, [...zones.keys()]);
  const perZone = new Map<ZoneId, number>();
  const rounds = byRank.map((host) => {
    const zone = zones.get(host)!;
    const round = perZone.get(zone) ?? 0;
    perZone.set(zone, round + 1);
    return {host, round};
  });
  // The sort is stable: within a round, VMs of different zones stay in the order of their rank.
  return rounds.sort((a, b) => a.round - b.round).map(({host}) => host);
}
