/**
 * Suspects as several processes share them, without a network between.
 */
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

/** See the module's comment. */
export class FakeSuspectStore {
  /** Whether what one process finds is told to the others. */
  isShared = true;
  /** Suspects as the control group would keep them. */
  suspects: ReadonlyMap<string, FleetSuspect> = new Map();
  private views: readonly SuspectView[] = [];

  /**
   * What one process knows of them.
   *
   * @param wire the engines' words
   * @param engines engines as that process knows them
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
