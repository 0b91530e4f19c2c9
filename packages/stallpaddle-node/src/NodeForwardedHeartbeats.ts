/**
 * Heartbeats that a follower forwards to the leader of the control group.
 */
import type {MonotonicMs} from 'stallpaddle';
import type {FleetHeartbeat, ForwardedHeartbeat} from 'stallpaddle-fleet';

/** Age from which a heartbeat is dropped instead of forwarded, in milliseconds. */
const MAX_AGE_MS = 2_000;

interface ReceivedHeartbeat {
  readonly at: MonotonicMs;
  readonly hello: FleetHeartbeat;
  /** Whether the leader has received it. */
  reported: boolean;
}

/** Identifies a process and its role. */
function keyOf(hello: FleetHeartbeat): string {
  return `${hello.kind} ${hello.kind === 'entry' ? hello.name : hello.replica}`;
}

/**
 * Collects the heartbeats that a follower has received, until it has forwarded them to the leader. A new leader has no
 * heartbeats yet, so it gets all of them again.
 */
export class NodeForwardedHeartbeats {
  private readonly received = new Map<string, ReceivedHeartbeat>();
  private term: number | undefined;
  private underWay: readonly ReceivedHeartbeat[] = [];

  /**
   * Records the heartbeats of a process.
   *
   * @param hellos the heartbeats
   * @param at the present moment
   * @returns whether one of them is new or differs from the last one
   */
  record(hellos: readonly FleetHeartbeat[], at: MonotonicMs): boolean {
    let isNew = false;
    for (const hello of hellos) {
      const key = keyOf(hello);
      const before = this.received.get(key)?.hello;
      isNew ||= before === undefined || JSON.stringify(before) !== JSON.stringify(hello);
      this.received.set(key, {at, hello, reported: false});
    }
    return isNew;
  }

  /**
   * Returns the heartbeats that are to be forwarded now.
   *
   * @param now the present moment
   */
  take(now: MonotonicMs): readonly ForwardedHeartbeat[] {
    for (const [key, {at}] of this.received) {
      if (now - at > MAX_AGE_MS) {
        this.received.delete(key);
      }
    }
    this.underWay = [...this.received.values()].filter(({reported}) => !reported);
    return this.underWay.map(({at, hello}) => ({ageMs: now - at, hello}));
  }

  /**
   * Marks the heartbeats that were taken last as received by a leader.
   *
   * @param term the leader's term
   */
  confirm(term: number): void {
    const isSame = term === this.term;
    this.term = term;
    if (isSame) {
      this.underWay.forEach((heartbeat) => (heartbeat.reported = true));
    } else {
      const taken = new Set(this.underWay);
      this.received.forEach((heartbeat) => (heartbeat.reported = taken.has(heartbeat)));
    }
    this.underWay = [];
  }
}
