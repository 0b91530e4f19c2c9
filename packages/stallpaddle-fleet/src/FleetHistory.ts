/**
 * Recent fleet statuses by number, from which updates are computed for processes that hold an earlier one.
 */
import type {KnownVersions} from './FleetView';
import type {FleetStatus} from './FleetView';

import {diffStatus, type StatusUpdate} from './FleetDelta';

/**
 * Number of statuses kept; a process that is further behind receives the whole status. A process asks again within 1.3 s,
 * and there are at most ten statuses a second.
 */
const MAX_STATUSES = 16;

/** A fleet status with its number, which is unique within the term of the leader that published it. */
export interface NumberedStatus {
  readonly fleet: number;
  readonly news: FleetStatus;
  readonly term: number;
}

/**
 * Keeps the recent fleet statuses of one leader's term and computes updates between them. Numbers are the same at the
 * leader and at replicas that forward the status, so a process may switch between them.
 */
export class FleetHistory {
  private current: NumberedStatus | undefined;
  private readonly kept = new Map<number, FleetStatus>();
  /** Updates to the current status by the number they start from; most processes hold the same number. */
  private readonly updates = new Map<number, StatusUpdate>();

  /** The latest status, once there is one. */
  get latest(): NumberedStatus | undefined {
    return this.current;
  }

  /**
   * Adds a status. A new term discards all earlier ones, because numbers restart with each term.
   *
   * @param numbered the status
   */
  put(numbered: NumberedStatus): void {
    if (this.current?.term !== numbered.term) {
      this.kept.clear();
    }
    this.current = numbered;
    this.kept.set(numbered.fleet, numbered.news);
    this.updates.clear();
    const [oldest] = this.kept.keys();
    if (oldest !== undefined && this.kept.size > MAX_STATUSES) {
      this.kept.delete(oldest);
    }
  }

  /**
   * Computes the update that brings a process to the latest status; `same` when it holds that or a later one.
   *
   * @param known versions that the process holds
   */
  updateFor({fleet, term}: KnownVersions): StatusUpdate {
    const {current} = this;
    if (current === undefined || term > current.term) {
      return {kind: 'same'};
    }
    if (term < current.term) {
      return {kind: 'whole', news: current.news};
    }
    return fleet >= current.fleet ? {kind: 'same'} : this.updateFrom(fleet, current.news);
  }

  private updateFrom(fleet: number, news: FleetStatus): StatusUpdate {
    const before = this.kept.get(fleet);
    const update: StatusUpdate = this.updates.get(fleet) ?? {
      ...(before === undefined
        ? {kind: 'whole', news}
        : {delta: diffStatus(before, news), from: fleet, kind: 'delta'}),
    };
    this.updates.set(fleet, update);
    return update;
  }
}
