/** Shares suspects between relays in one process, for tests. */
import {systemClock} from 'stallpaddle';
import {
  afterEngineEnd,
  afterRelease,
  type EngineView,
  type FleetSuspect,
  suspectView,
  type SuspectView,
} from 'stallpaddle-fleet';
import {RelaySuspects, type RelayWire} from 'stallpaddle-relay';

/** Keeps suspects as the control group does, and shares them with all views without a network. */
export class FakeSuspectStore {
  /** Whether new findings become visible to the views. */
  isShared = true;
  /** Suspects by request, as the control group stores them. */
  suspects: ReadonlyMap<string, FleetSuspect> = new Map();
  private views: readonly SuspectView[] = [];

  /**
   * Returns the suspects as one process sees them.
   *
   * @param wire wire format of the engines
   * @param engines returns the engines that the process knows
   */
  view(wire: RelayWire, engines: () => readonly EngineView[]): RelaySuspects {
    return new RelaySuspects({
      clock: systemClock,
      decide: () => {},
      engines,
      record: (finding) => {
        this.suspects =
          finding.kind === 'noteEngineEnd'
            ? afterEngineEnd(this.suspects, finding, 0)
            : afterRelease(this.suspects, finding);
        if (this.isShared) {
          this.views = [...this.suspects.values()].map(suspectView);
        }
        return Promise.resolve();
      },
      reported: () => this.views,
      wire,
    });
  }
}
