/**
 * Pure state machine of the membership view, and queries on it.
 */
import type {MonotonicMs, VmId, ZoneId} from 'stallpaddle';

import {rendezvousOrder, unreachable} from 'stallpaddle';

import type {
  Address,
  MembershipEvent,
  MembershipState,
  VmEntry,
  VmMetadata,
  VmUpdate,
} from './MembershipTypes';

import {MAX_ADDRESSES, VM_LOST_AFTER_MS, VM_REMOVE_AFTER_MS} from './MembershipConstants';

/**
 * Returns a view that contains only this VM.
 *
 * @param self this VM's metadata
 * @param now monotonic time
 */
export function initialMembership(self: VmMetadata, now: MonotonicMs): MembershipState {
  return {
    entries: new Map([[self.vm, {facts: self, lastSeenAt: now, sequence: 1, version: 1}]]),
    platformLeaving: new Set(),
    self: self.vm,
    version: 1,
  };
}

function hasSameMetadata(a: VmMetadata, b: VmMetadata): boolean {
  return (
    a.epoch === b.epoch &&
    a.leaving === b.leaving &&
    a.revision === b.revision &&
    a.callers.host === b.callers.host &&
    a.callers.port === b.callers.port &&
    a.peers.host === b.peers.host &&
    a.peers.port === b.peers.port
  );
}

function isNewer(known: VmEntry | undefined, update: VmUpdate): boolean {
  if (known === undefined || update.facts.epoch !== known.facts.epoch) {
    return known === undefined || update.facts.epoch > known.facts.epoch;
  }
  return update.sequence > known.sequence;
}

function applyUpdates(
  state: MembershipState,
  updates: readonly VmUpdate[],
  now: MonotonicMs,
): MembershipState {
  const entries = new Map(state.entries);
  let {version} = state;
  for (const update of updates) {
    const known = entries.get(update.facts.vm);
    if (update.facts.vm === state.self || !isNewer(known, update)) {
      continue;
    }
    const changed = known === undefined || !hasSameMetadata(known.facts, update.facts);
    version += changed ? 1 : 0;
    entries.set(update.facts.vm, {
      facts: update.facts,
      lastSeenAt: Math.max(known?.lastSeenAt ?? -Infinity, now - update.ageMs),
      sequence: update.sequence,
      version: changed ? version : known.version,
    });
  }
  return {...state, entries, version};
}

/**
 * Adopts the sender's view of which VMs are lost. VMs without a disk exchange heartbeats only with a VM that has one,
 * and rely on its view.
 */
function applyLosses(
  state: MembershipState,
  lost: ReadonlySet<VmId>,
  now: MonotonicMs,
): MembershipState {
  const entries = new Map(state.entries);
  for (const [vm, entry] of entries) {
    if (vm !== state.self) {
      entries.set(vm, {
        ...entry,
        lastSeenAt: lost.has(vm) ? Math.min(entry.lastSeenAt, now - VM_LOST_AFTER_MS) : now,
      });
    }
  }
  return {...state, entries};
}

/**
 * Known VMs whose heartbeats have stopped.
 *
 * @param state the view
 * @param now monotonic time
 */
export function lostVms(state: MembershipState, now: MonotonicMs): readonly VmId[] {
  return [...state.entries].filter(([, entry]) => !isLive(entry, now)).map(([vm]) => vm);
}

function updateSelf(state: MembershipState, facts: VmMetadata, now: MonotonicMs): MembershipState {
  const known = state.entries.get(state.self)!;
  const changed = !hasSameMetadata(known.facts, facts);
  const version = state.version + (changed ? 1 : 0);
  const entry = {facts, lastSeenAt: now, sequence: known.sequence + 1, version};
  return {...state, entries: new Map(state.entries).set(state.self, entry), version};
}

function removeExpired(state: MembershipState, now: MonotonicMs): MembershipState {
  const kept = [...state.entries].filter(
    ([, entry]) => now - entry.lastSeenAt < VM_REMOVE_AFTER_MS,
  );
  return kept.length === state.entries.size ? state : {...state, entries: new Map(kept)};
}

/**
 * Applies one event.
 *
 * @param state current view
 * @param event event to apply
 * @param now monotonic time of the event
 */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  now: MonotonicMs,
): MembershipState {
  switch (event.kind) {
    case 'beatDue':
      return removeExpired(updateSelf(state, state.entries.get(state.self)!.facts, now), now);
    case 'lossesHeard':
      return applyLosses(state, new Set(event.lost), now);
    case 'newsHeard':
      return applyUpdates(state, event.news, now);
    case 'platformListed':
      return {...state, platformLeaving: new Set(event.leaving)};
    case 'selfChanged':
      return updateSelf(state, event.facts, now);
    default:
      return unreachable(event);
  }
}

/**
 * Whether a VM sent a heartbeat recently.
 *
 * @param entry the VM
 * @param now monotonic time
 */
export function isLive(entry: VmEntry, now: MonotonicMs): boolean {
  return now - entry.lastSeenAt < VM_LOST_AFTER_MS;
}

/**
 * Live VMs that are not leaving, sorted by name.
 *
 * @param state the view
 * @param now monotonic time
 */
export function activeVms(state: MembershipState, now: MonotonicMs): readonly VmMetadata[] {
  return [...state.entries.values()]
    .filter((entry) => isLive(entry, now))
    .map(({facts}) => facts)
    .filter(({leaving, vm}) => !leaving && !state.platformLeaving.has(vm))
    .sort((a, b) => (a.vm < b.vm ? -1 : 1));
}

/**
 * All live VMs, including leaving ones, sorted by name.
 *
 * @param state the view
 * @param now monotonic time
 */
export function liveVms(state: MembershipState, now: MonotonicMs): readonly VmMetadata[] {
  return [...state.entries.values()]
    .filter((entry) => isLive(entry, now))
    .map(({facts}) => facts)
    .sort((a, b) => (a.vm < b.vm ? -1 : 1));
}

/** Address of one VM that a caller may connect to. */
export interface CallerAddress {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly host: string;
  readonly port: number;
}

/**
 * Addresses for a caller: active VMs, those of its availability zone first, in an order that differs by caller.
 *
 * @param state the view
 * @param caller value that differs between callers and spreads them over the VMs
 * @param zone the caller's availability zone, if known
 * @param now monotonic time
 */
export function addressesFor(
  state: MembershipState,
  caller: string,
  zone: ZoneId | undefined,
  now: MonotonicMs,
): readonly CallerAddress[] {
  const active = new Map(activeVms(state, now).map((facts) => [facts.vm, facts]));
  const order = rendezvousOrder(caller, [...active.keys()]).map((vm) => active.get(vm)!);
  const sameZone = order.filter((facts) => facts.zone === zone);
  const otherZones = order.filter((facts) => facts.zone !== zone);
  return [...sameZone, ...otherZones].slice(0, MAX_ADDRESSES).map((facts) => {
    const {host, port}: Address = facts.callers;
    return {host, port, vm: facts.vm, zone: facts.zone};
  });
}

/**
 * Updates to send to another VM: every VM whose metadata changed since a version.
 *
 * @param state the view
 * @param now monotonic time
 * @param since version that the other VM has already received; 0 for all
 */
export function updatesSince(
  state: MembershipState,
  now: MonotonicMs,
  since: number,
): readonly VmUpdate[] {
  return [...state.entries.values()]
    .filter((entry) => entry.version > since)
    .map(({facts, lastSeenAt, sequence}) => ({ageMs: now - lastSeenAt, facts, sequence}));
}
