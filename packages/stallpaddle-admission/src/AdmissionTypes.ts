/**
 * What entry VMs and the dispatcher of batch items tell each other about the demand for engine slots.
 */

/** Requests of one entry VM, by customer; the empty name stands for callers without a customer. */
export interface DemandReport {
  /** Rejected requests that would still be open if they had gone on; absent for none. */
  readonly held?: Readonly<Record<string, number>>;
  /** Requests that are on an engine. */
  readonly running: Readonly<Record<string, number>>;
  /** Requests that wait for a slot. */
  readonly waiting: Readonly<Record<string, number>>;
}

/** Free capacity of all engines. */
export interface RoomReport {
  /** Time until the current burst is expected to end, in milliseconds; null when there is none. */
  readonly burstEndsInMs: null | number;
  /** Slots of usable engines that neither online requests nor batch items occupy. */
  readonly freeSlots: number;
  /** Slots that batch items occupy and give up to online requests. */
  readonly itemSlots: number;
  /** Online requests that start per second, averaged over the last second. */
  readonly startsPerSecond: number;
  /** Requests that wait for a slot on all VMs. */
  readonly waiting: number;
}

/** Fair shares of customers while slots are scarce. */
export interface SharesReport {
  /** Slots per unit of weight; null while there is room for all. */
  readonly level: null | number;
  /** Customers above their share, with the fraction of their requests that may be sent. */
  readonly over: Readonly<Record<string, number>>;
}
