/**
 * What processes said of themselves to a replica that doesn't lead, until it has told the leader. A new leader has heard
 * nobody, so it is told all of it again.
 */
import type {MonotonicMs} from 'stallpaddle';
import type {FleetHeartbeat, ForwardedHeartbeat} from 'stallpaddle-fleet';

/** Age beyond which words are not passed on, in milliseconds: they count for nothing after that. */
const MAX_AGE_MS = 2_000;

interface ReceivedHeartbeat {
  readonly at: MonotonicMs;
  readonly hello: FleetHeartbeat;
  /** Whether the leader was told. */
  told: boolean;
}

/** Tells processes apart, and the parts of each. */
function keyOf(hello: FleetHeartbeat): string {
  return `${hello.kind} ${hello.kind === 'entry' ? hello.name : hello.replica}`;
}

/** See the module's comment. */
export class NodeForwardedHeartbeats {
  private readonly received = new Map<string, ReceivedHeartbeat>();
  private term: number | undefined;
  private inFlight: readonly ReceivedHeartbeat[] = [];

  /**
   * Notes what a process says.
   *
   * @param hellos its words
   * @param at the present moment
   * @returns whether it says anything that it did not say before
   */
  record(hellos: readonly FleetHeartbeat[], at: MonotonicMs): boolean {
    let isNew = false;
    for (const hello of hellos) {
      const key = keyOf(hello);
      const before = this.received.get(key)?.hello;
      isNew ||= before === undefined || JSON.stringify(before) !== JSON.stringify(hello);
      this.received.set(key, {at, hello, told: false});
    }
    return isNew;
  }

  /**
   * What the leader has to be told now.
   *
   * @param now the present moment
   */
  take(now: MonotonicMs): readonly ForwardedHeartbeat[] {
    for (const [key, {at}] of this.received) {
      if (now - at > MAX_AGE_MS) {
        this.received.delete(key);
      }
    }
    this.inFlight = [...this.received.values()].filter(({told}) => !told);
    return this.inFlight.map(({at, hello}) => ({ageMs: now - at, hello}));
  }

  /**
   * Notes that a leader has what was taken last.
   *
   * @param term the leader's term
   */
  confirm(term: number): void {
    const isSame = term === this.term;
    this.term = term;
    if (isSame) {
      this.inFlight.forEach((heard) => (heard.told = true));
    } else {
      const told = new Set(this.inFlight);
      this.received.forEach((heard) => (heard.told = told.has(heard)));
    }
    this.inFlight = [];
  }
}
