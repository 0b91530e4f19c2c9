/**
 * What one leader of the control group has heard of other processes. It is kept in memory only, and begins
 * anew with each leader.
 */
import type {EngineId, MonotonicMs, ReplicaId, VmId, ZoneId} from 'stallpaddle';
import type {EntryView, FleetHeartbeat, JobsGroupReport} from 'stallpaddle-fleet';

import {unreachable} from 'stallpaddle';

/** An entry VM, and when it last spoke. */
export interface SeenEntry extends EntryView {
  readonly at: MonotonicMs;
  /** Whether it takes new callers. */
  readonly ready: boolean;
}

/** A store process, and when it last spoke. */
export interface SeenStore {
  readonly at: MonotonicMs;
  /** Present while it leads the group that keeps batch jobs. */
  readonly leads: JobsGroupReport | null;
  readonly name: VmId;
  readonly replica: ReplicaId;
  readonly zone: ZoneId;
}

/** See the module's comment. */
export class NodeLastSeen {
  /** When each process of the control group last spoke. */
  readonly controls = new Map<ReplicaId, MonotonicMs>();
  /** When each engine last reported. */
  readonly engines = new Map<EngineId, MonotonicMs>();
  readonly entries = new Map<VmId, SeenEntry>();
  readonly stores = new Map<ReplicaId, SeenStore>();

  /**
   * @param term the leader's term
   * @param since when it began to listen
   */
  constructor(
    readonly term: number,
    readonly since: MonotonicMs,
  ) {}

  /** What the latest leader of the group that keeps batch jobs says of it. */
  get jobsReport(): JobsGroupReport | null {
    const reports = [...this.stores.values()].flatMap(({leads}) => leads ?? []);
    return reports.sort((a, b) => b.term - a.term)[0] ?? null;
  }

  /**
   * Notes what a process says of itself. Words may be passed on by another process, so older ones may come after newer.
   *
   * @param hello its words
   * @param at when it said so
   */
  record(hello: FleetHeartbeat, at: MonotonicMs): void {
    switch (hello.kind) {
      case 'control':
        this.controls.set(hello.replica, Math.max(at, this.controls.get(hello.replica) ?? at));
        return;
      case 'entry': {
        const {callerAddress, name, ready, zone} = hello;
        if (at >= (this.entries.get(name)?.at ?? at)) {
          this.entries.set(name, {address: callerAddress, at, name, ready, zone});
        }
        return;
      }
      case 'store': {
        const {leads, name, replica, zone} = hello;
        if (at >= (this.stores.get(replica)?.at ?? at)) {
          this.stores.set(replica, {at, leads, name, replica, zone});
        }
        return;
      }
      default:
        unreachable(hello);
    }
  }
}
