/** Check of fatal requests, which crash every engine that runs them. */
import {fatalOf, isFatalMember} from './SoakOutput';

/** Number of engines that a request may crash before it must be quarantined. */
const MAX_CRASHES = 3;
/** Number of runs that are allowed once a request must be quarantined on all VMs. */
const MAX_LATE_RUNS = 3;

/** Observed state of a fatal request. */
interface SeenFatal {
  crashes: number;
  /** Time of the last crash that is allowed. */
  detectedAt: number;
  lateRuns: number;
}

/** Time after an attempt during which its family is still being sent, in milliseconds. */
const STILL_SENT_MS = 1_000;

/** Counts how many engines each fatal request crashes, and how often it still runs afterwards. */
export class SoakFatals {
  private readonly seen = new Map<string, SeenFatal>();
  /** When a caller last sent a request of a family. */
  private readonly sentAt = new Map<string, number>();

  /**
   * @param contactMs time after which a VM knows what other VMs have reported, in milliseconds
   */
  constructor(private readonly contactMs: number) {}

  /**
   * Records that a request has crashed an engine.
   *
   * @param at time of the crash
   * @param request name of the request
   */
  noteCrash(at: number, request: string): void {
    const seen = this.seen.get(request) ?? {crashes: 0, detectedAt: Infinity, lateRuns: 0};
    this.seen.set(request, seen);
    seen.crashes++;
    if (seen.crashes === MAX_CRASHES) {
      seen.detectedAt = at;
    }
  }

  /**
   * Records that a caller has sent an attempt.
   *
   * @param at the time
   * @param id id of the attempt
   */
  noteAsked(at: number, id: string): void {
    if (isFatalMember(id)) {
      this.sentAt.set(fatalOf(id)!, at);
    }
  }

  /**
   * Whether a family that all VMs must know by now is still being sent, so that a harmless request is one that shares only its
   * other parts with a quarantined one.
   *
   * @param at the time
   */
  isFamilyHeld(at: number): boolean {
    return [...this.sentAt].some(([family, sentAt]) => {
      const detectedAt = this.seen.get(family)?.detectedAt ?? Infinity;
      return at - sentAt <= STILL_SENT_MS && at - detectedAt > 2 * this.contactMs;
    });
  }

  /**
   * Records that an attempt has reached an engine while the VMs were undisturbed.
   *
   * @param at time of the run
   * @param engine incarnation of the engine
   * @param id id of the attempt
   * @returns description of a violation; null if there is none
   */
  noteRun(at: number, engine: string, id: string): null | string {
    const request = fatalOf(id);
    const seen = request === null ? undefined : this.seen.get(request);
    if (seen === undefined || at - seen.detectedAt <= this.contactMs) {
      return null;
    }
    seen.lateRuns++;
    return seen.lateRuns > MAX_LATE_RUNS
      ? `${id} reached ${engine}, late run ${seen.lateRuns}, after ${seen.crashes} crashes`
      : null;
  }
}
