/**
 * Heartbeats that a leader of the control group has received.
 */
import type {EngineId, MonotonicMs, ReplicaId, VmId, ZoneId} from 'stallpaddle';
import type {EntryView, FleetHeartbeat, JobsGroupReport} from 'stallpaddle-fleet';

import {unreachable} from 'stallpaddle';

/** An entry VM with the time of its last heartbeat. */
export interface SeenEntry extends EntryView {
  readonly at: MonotonicMs;
  /** Whether it takes new callers. */
  readonly ready: boolean;
}

/** A store process with the time of its last heartbeat. */
export interface SeenStore {
  readonly at: MonotonicMs;
  /** Present while it leads the group that keeps batch jobs. */
  readonly leads: JobsGroupReport | null;
  readonly name: VmId;
  readonly replica: ReplicaId;
  readonly zone: ZoneId;
}

/**
 * The last heartbeat of each process and the last report of each engine, as one leader of the control group received them.
 * They are kept in memory only; each leader starts without any.
 */
export class NodeLastSeen {
  /** Last heartbeat of each process of the control group. */
  readonly controls = new Map<ReplicaId, MonotonicMs>();
  /** Last report of each engine. */
  readonly engines = new Map<EngineId, MonotonicMs>();
  readonly entries = new Map<VmId, SeenEntry>();
  readonly stores = new Map<ReplicaId, SeenStore>();

  /**
   * @param term the leader's term
   * @param since when the leader began to receive heartbeats
   */
  constructor(
    readonly term: number,
    readonly since: MonotonicMs,
  ) {}

  /** Members of the group that keeps batch jobs, as its leader of the highest term reports them; null without a leader. */
  get jobsReport(): JobsGroupReport | null {
    const reports = [...this.stores.values()].flatMap(({leads}) => leads ?? []);
    return reports.sort((a, b) => b.term - a.term)[0] ?? null;
  }

  /**
   * Records a heartbeat. Forwarded heartbeats may arrive out of order; an older one than the last is dropped.
   *
   * @param heartbeat the heartbeat
   * @param at when it was sent
   */
  record(heartbeat: FleetHeartbeat, at: MonotonicMs): void {
    switch (heartbeat.kind) {
      case 'control':
        this.controls.set(
          heartbeat.replica,
          Math.max(at, this.controls.get(heartbeat.replica) ?? at),
        );
        return;
      case 'entry': {
        const {callerAddress, capacity, name, ready, zone} = heartbeat;
        if (at >= (this.entries.get(name)?.at ?? at)) {
          this.entries.set(name, {...capacity, address: callerAddress, at, name, ready, zone});
        }
        return;
      }
      case 'store': {
        const {leads, name, replica, zone} = heartbeat;
        if (at >= (this.stores.get(replica)?.at ?? at)) {
          this.stores.set(replica, {at, leads, name, replica, zone});
        }
        return;
      }
      default:
        unreachable(heartbeat);
    }
  }
}
