/** Shares suspects between relays in one process, for tests. */
import {delay, systemClock} from 'stallpaddle';
import {
  afterEngineEnd,
  afterPartsEnd,
  afterPartsRelease,
  afterPartsTrial,
  afterRelease,
  type EngineView,
  type FleetAnswer,
  type FleetSuspect,
  type FleetSuspectParts,
  type NoteEngineEnd,
  type ReleaseParts,
  type ReleaseRequest,
  type SuspectPartView,
  suspectPartViews,
  suspectView,
  type SuspectView,
  type TryParts,
} from 'stallpaddle-fleet';
import {RelaySuspects, type RelayWire} from 'stallpaddle-relay';

/** Keeps suspects as the control group does, and shares them with all views without a network. */
export class FakeSuspectStore {
  /** Time until a finding is recorded, in milliseconds. */
  recordMs = 0;
  /** Time until a request for a trial is answered, in milliseconds. */
  trialMs = 0;
  /** Whether new findings become visible to the views. */
  isShared = true;
  /** Suspects by request, as the control group stores them. */
  suspects: ReadonlyMap<string, FleetSuspect> = new Map();
  /** The group's clock. */
  clockMs = 0;
  /** Suspect parts by id, as the control group stores them. */
  parts: FleetSuspectParts = new Map();
  private partViews: readonly SuspectPartView[] = [];
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
      record: async (finding) => {
        if (this.recordMs > 0) {
          await delay(this.recordMs);
        }
        this.apply(finding);
        this.publish();
      },
      refresh: () => Promise.resolve(),
      reported: () => this.views,
      reportedParts: () => this.partViews,
      requestTrial: async (request) => {
        const answer = this.grantTrial(request);
        if (this.trialMs > 0) {
          await delay(this.trialMs);
        }
        return answer;
      },
      wire,
    });
  }

  private apply(finding: NoteEngineEnd | ReleaseParts | ReleaseRequest): void {
    switch (finding.kind) {
      case 'noteEngineEnd':
        this.suspects = afterEngineEnd(this.suspects, finding, this.clockMs);
        this.parts = afterPartsEnd(this.parts, finding, this.clockMs);
        return;
      case 'releaseParts':
        this.parts = afterPartsRelease(this.parts, finding, this.clockMs);
        return;
      case 'releaseRequest':
        this.suspects = afterRelease(this.suspects, finding);
        return;
    }
  }

  private grantTrial(request: TryParts): FleetAnswer {
    const after = afterPartsTrial(this.parts, request, this.clockMs);
    this.parts = after ?? this.parts;
    this.publish();
    return {kind: after === undefined ? 'trialDenied' : 'applied'};
  }

  /** Makes the stored suspects visible to the views. */
  publish(): void {
    if (this.isShared) {
      this.views = [...this.suspects.values()].map(suspectView);
      this.partViews = suspectPartViews(this.parts, this.suspects);
    }
  }
}
