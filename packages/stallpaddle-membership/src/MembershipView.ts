/**
 * The membership view as a pure state machine, and what is read from it.
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
 * A view that knows only its own VM.
 *
 * @param self this VM's facts
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

function sameFacts(a: VmMetadata, b: VmMetadata): boolean {
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

function isNewer(known: VmEntry | undefined, news: VmUpdate): boolean {
  if (known === undefined || news.facts.epoch !== known.facts.epoch) {
    return known === undefined || news.facts.epoch > known.facts.epoch;
  }
  return news.sequence > known.sequence;
}

function merge(
  state: MembershipState,
  news: readonly VmUpdate[],
  now: MonotonicMs,
): MembershipState {
  const entries = new Map(state.entries);
  let {version} = state;
  for (const item of news) {
    const known = entries.get(item.facts.vm);
    if (item.facts.vm === state.self || !isNewer(known, item)) {
      continue;
    }
    const changed = known === undefined || !sameFacts(known.facts, item.facts);
    version += changed ? 1 : 0;
    entries.set(item.facts.vm, {
      facts: item.facts,
      lastSeenAt: Math.max(known?.lastSeenAt ?? -Infinity, now - item.ageMs),
      sequence: item.sequence,
      version: changed ? version : known.version,
    });
  }
  return {...state, entries, version};
}

/** A VM without a disk hears of the others through one with a disk, and takes its word. */
function hearLosses(
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
 * VMs that are known but were not heard lately.
 *
 * @param state the view
 * @param now monotonic time
 */
export function lostVms(state: MembershipState, now: MonotonicMs): readonly VmId[] {
  return [...state.entries].filter(([, entry]) => !isLive(entry, now)).map(([vm]) => vm);
}

function putSelf(state: MembershipState, facts: VmMetadata, now: MonotonicMs): MembershipState {
  const known = state.entries.get(state.self)!;
  const changed = !sameFacts(known.facts, facts);
  const version = state.version + (changed ? 1 : 0);
  const entry = {facts, lastSeenAt: now, sequence: known.sequence + 1, version};
  return {...state, entries: new Map(state.entries).set(state.self, entry), version};
}

function forgetOld(state: MembershipState, now: MonotonicMs): MembershipState {
  const kept = [...state.entries].filter(
    ([, entry]) => now - entry.lastSeenAt < VM_REMOVE_AFTER_MS,
  );
  return kept.length === state.entries.size ? state : {...state, entries: new Map(kept)};
}

/**
 * Takes in one event.
 *
 * @param state current view
 * @param event what happened
 * @param now monotonic time of the event
 */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  now: MonotonicMs,
): MembershipState {
  switch (event.kind) {
    case 'beatDue':
      return forgetOld(putSelf(state, state.entries.get(state.self)!.facts, now), now);
    case 'lossesHeard':
      return hearLosses(state, new Set(event.lost), now);
    case 'newsHeard':
      return merge(state, event.news, now);
    case 'platformListed':
      return {...state, platformLeaving: new Set(event.leaving)};
    case 'selfChanged':
      return putSelf(state, event.facts, now);
    default:
      return unreachable(event);
  }
}

/**
 * Whether a VM was heard lately.
 *
 * @param entry the VM
 * @param now monotonic time
 */
export function isLive(entry: VmEntry, now: MonotonicMs): boolean {
  return now - entry.lastSeenAt < VM_LOST_AFTER_MS;
}

/**
 * VMs that were heard lately and will stay, sorted by name.
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
 * All VMs that were heard lately, leaving ones too.
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

/** Addresses for one caller, and how long to keep them. */
export interface CallerAddress {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly host: string;
  readonly port: number;
}

/**
 * Addresses for a caller: staying VMs, those of its availability zone first, spread by caller.
 *
 * @param state the view
 * @param caller anything that differs between callers; spreads them
 * @param zone the caller's availability zone, where known
 * @param now monotonic time
 */
export function addressesFor(
  state: MembershipState,
  caller: string,
  zone: ZoneId | undefined,
  now: MonotonicMs,
): readonly CallerAddress[] {
  const staying = new Map(activeVms(state, now).map((facts) => [facts.vm, facts]));
  const order = rendezvousOrder(caller, [...staying.keys()]).map((vm) => staying.get(vm)!);
  const near = order.filter((facts) => facts.zone === zone);
  const far = order.filter((facts) => facts.zone !== zone);
  return [...near, ...far].slice(0, MAX_ADDRESSES).map((facts) => {
    const {host, port}: Address = facts.callers;
    return {host, port, vm: facts.vm, zone: facts.zone};
  });
}

/**
 * What to tell another VM: everything that changed since a version, and signs of life.
 *
 * @param state the view
 * @param now monotonic time
 * @param since version that the other VM has seen; 0 for all
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
