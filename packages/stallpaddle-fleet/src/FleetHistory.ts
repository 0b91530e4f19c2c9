/**
 * The last states of the news under their numbers, so that each process is told only what it lacks. The numbers belong
 * to one leader's term, and are the same at whoever passes the news on.
 */
import type {KnownVersions} from './FleetView';
import type {FleetStatus} from './FleetView';

import {diffStatus, type StatusUpdate} from './FleetDelta';

/**
 * States that are kept: a process asks again within 1.3 s, and there are ten a second at most. Whoever is further behind
 * gets the whole.
 */
const KEPT = 16;

/** News under their number. */
export interface NumberedStatus {
  readonly fleet: number;
  readonly news: FleetStatus;
  readonly term: number;
}

/** See the module's comment. */
export class FleetHistory {
  private current: NumberedStatus | undefined;
  private readonly kept = new Map<number, FleetStatus>();
  /** What was worked out for processes that hold an earlier state; most hold the same one. */
  private readonly updates = new Map<number, StatusUpdate>();

  /** The latest state, once there is one. */
  get latest(): NumberedStatus | undefined {
    return this.current;
  }

  /**
   * Adds a state. One of another term makes all earlier ones useless.
   *
   * @param numbered the state
   */
  put(numbered: NumberedStatus): void {
    if (this.current?.term !== numbered.term) {
      this.kept.clear();
    }
    this.current = numbered;
    this.kept.set(numbered.fleet, numbered.news);
    this.updates.clear();
    const [oldest] = this.kept.keys();
    if (oldest !== undefined && this.kept.size > KEPT) {
      this.kept.delete(oldest);
    }
  }

  /**
   * What a process lacks; nothing when it holds this state or a later one.
   *
   * @param known what the process holds
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
