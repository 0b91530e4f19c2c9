/**
 * Deltas between fleet statuses, so that a change of one engine or VM doesn't resend the whole status: 18 KB with 170 entry
 * VMs, 52 engines and 30 stores. Pure functions.
 */
import type {SuspectPartView} from './FleetSuspectParts';
import type {SuspectView} from './FleetSuspects';
import type {EngineView, EntryView, FleetStatus, StoreView} from './FleetView';

/** Changes of one list: items added or replaced, and names of items removed. */
export interface ListDelta<Item> {
  readonly gone: readonly string[];
  readonly put: readonly Item[];
}

/** Changes from one fleet status to another; absent plain fields are unchanged. */
export interface StatusDelta {
  readonly engines: ListDelta<EngineView>;
  readonly entries: ListDelta<EntryView>;
  readonly plain: Partial<
    Omit<FleetStatus, 'engines' | 'entries' | 'stores' | 'suspectParts' | 'suspects'>
  >;
  readonly stores: ListDelta<StoreView>;
  /** Absent from leaders of earlier releases. */
  readonly suspectParts?: ListDelta<SuspectPartView>;
  /** Absent from leaders of earlier releases. */
  readonly suspects?: ListDelta<SuspectView>;
}

/** Part of an answer that updates the fleet status. */
export type StatusUpdate =
  /** Applies to the status with the number `from`. */
  | {readonly delta: StatusDelta; readonly from: number; readonly kind: 'delta'}
  | {readonly kind: 'same'}
  | {readonly kind: 'whole'; readonly news: FleetStatus};

/** Accesses one list of the fleet status and the names of its items. */
interface StatusList<Item extends object> {
  readonly nameOf: (item: Item) => string;
  readonly of: (status: FleetStatus) => readonly Item[];
}

const ENGINES: StatusList<EngineView> = {nameOf: ({id}) => id, of: ({engines}) => engines};
const ENTRIES: StatusList<EntryView> = {nameOf: ({name}) => name, of: ({entries}) => entries};
const STORES: StatusList<StoreView> = {nameOf: ({name}) => name, of: ({stores}) => stores};
const SUSPECT_PARTS: StatusList<SuspectPartView> = {
  nameOf: ({part}) => part,
  of: ({suspectParts}) => suspectParts,
};
const SUSPECTS: StatusList<SuspectView> = {
  nameOf: ({digest}) => digest,
  of: ({suspects}) => suspects,
};

/** Fields of the fleet status that are not lists of named items. */
const PLAIN_FIELDS = [
  'controls',
  'entriesComplete',
  'formerSoftware',
  'jobsFounders',
  'jobsReplicas',
] as const;

const NO_CHANGES: ListDelta<never> = {gone: [], put: []};

/** Whether two items have the same keys and values; values are compared by identity. */
function isSameItem<Item extends object>(a: Item, b: Item): boolean {
  const keys = Object.keys(a) as (keyof Item)[];
  return keys.length === Object.keys(b).length && keys.every((key) => a[key] === b[key]);
}

function isSamePlain(a: unknown, b: unknown): boolean {
  return a === b || (Array.isArray(a) && Array.isArray(b) && a.join() === b.join());
}

function byName<Item extends object>(
  list: StatusList<Item>,
  status: FleetStatus,
): Map<string, Item> {
  return new Map(list.of(status).map((item) => [list.nameOf(item), item]));
}

function diffList<Item extends object>(
  list: StatusList<Item>,
  before: FleetStatus,
  after: FleetStatus,
): ListDelta<Item> {
  const known = byName(list, before);
  const put: Item[] = [];
  for (const item of list.of(after)) {
    const name = list.nameOf(item);
    const old = known.get(name);
    known.delete(name);
    if (old === undefined || !isSameItem(old, item)) {
      put.push(item);
    }
  }
  return {gone: [...known.keys()], put};
}

function isEmpty({gone, put}: ListDelta<unknown>): boolean {
  return gone.length + put.length === 0;
}

function applyList<Item extends object>(
  list: StatusList<Item>,
  before: FleetStatus,
  delta: ListDelta<Item>,
): readonly Item[] {
  if (isEmpty(delta)) {
    return list.of(before);
  }
  const items = byName(list, before);
  delta.gone.forEach((name) => items.delete(name));
  delta.put.forEach((item) => items.set(list.nameOf(item), item));
  return sortByName([...items.values()], list.nameOf);
}

/**
 * Sorts items by name, which is their order in every fleet status.
 *
 * @param items the items
 * @param nameOf returns an item's name
 */
export function sortByName<Item>(
  items: readonly Item[],
  nameOf: (item: Item) => string,
): readonly Item[] {
  return [...items].sort((a, b) => (nameOf(a) < nameOf(b) ? -1 : 1));
}

/**
 * Computes the changes between two statuses.
 *
 * @param before the status that a process holds
 * @param after the current status
 */
export function diffStatus(before: FleetStatus, after: FleetStatus): StatusDelta {
  const changed = PLAIN_FIELDS.filter((key) => !isSamePlain(before[key], after[key]));
  return {
    engines: diffList(ENGINES, before, after),
    entries: diffList(ENTRIES, before, after),
    plain: Object.fromEntries(changed.map((key) => [key, after[key]])),
    stores: diffList(STORES, before, after),
    suspectParts: diffList(SUSPECT_PARTS, before, after),
    suspects: diffList(SUSPECTS, before, after),
  };
}

/**
 * Whether a delta contains no changes.
 *
 * @param delta the delta
 */
export function isEmptyDelta(delta: StatusDelta): boolean {
  const {engines, entries, plain, stores, suspectParts = NO_CHANGES, suspects = NO_CHANGES} = delta;
  const lists = [engines, entries, stores, suspectParts, suspects];
  return lists.every(isEmpty) && Object.keys(plain).length === 0;
}

/**
 * Applies a delta to a status.
 *
 * @param before the status from which the delta was computed
 * @param delta the delta
 */
export function applyStatusDelta(before: FleetStatus, delta: StatusDelta): FleetStatus {
  return {
    ...before,
    ...delta.plain,
    engines: applyList(ENGINES, before, delta.engines),
    entries: applyList(ENTRIES, before, delta.entries),
    stores: applyList(STORES, before, delta.stores),
    suspectParts: applyList(SUSPECT_PARTS, before, delta.suspectParts ?? NO_CHANGES),
    suspects: applyList(SUSPECTS, before, delta.suspects ?? NO_CHANGES),
  };
}
