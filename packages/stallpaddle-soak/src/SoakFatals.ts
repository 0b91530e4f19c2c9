/** Check of fatal requests, which crash every engine that runs them. */
import {fatalOf} from './SoakOutput';

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

/** Counts how many engines each fatal request crashes, and how often it still runs afterwards. */
export class SoakFatals {
  private readonly seen = new Map<string, SeenFatal>();

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
