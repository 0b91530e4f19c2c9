/**
 * How many engines each request ends that ends all which begin to run it, and how often it reaches engines once that must be
 * known everywhere.
 */
import {fatalOf} from './SoakOutput';

/** Engines that a request may end before it must be known for it. */
const MOST_ENDED = 3;
/** Times that it may reach an engine once it must be known. */
const MOST_LATE_RUNS = 3;

/** What is remembered of one such request. */
interface SeenFatal {
  ends: number;
  /** When it had ended as many engines as it may. */
  knownAt: number;
  lateRuns: number;
}

/** See the module's comment. */
export class SoakFatals {
  private readonly seen = new Map<string, SeenFatal>();

  /**
   * @param contactMs time after which VMs know what others have seen, in milliseconds
   */
  constructor(private readonly contactMs: number) {}

  /**
   * Notes that a request has ended an engine.
   *
   * @param at the moment
   * @param request the request
   */
  noteEnd(at: number, request: string): void {
    const seen = this.seen.get(request) ?? {ends: 0, knownAt: Infinity, lateRuns: 0};
    this.seen.set(request, seen);
    seen.ends++;
    if (seen.ends === MOST_ENDED) {
      seen.knownAt = at;
    }
  }

  /**
   * Notes that an attempt has reached an engine while nothing troubled the VMs.
   *
   * @param at the moment
   * @param engine the engine
   * @param id the attempt
   * @returns what is wrong with it; null for nothing
   */
  noteRun(at: number, engine: string, id: string): null | string {
    const request = fatalOf(id);
    const seen = request === null ? undefined : this.seen.get(request);
    if (seen === undefined || at - seen.knownAt <= this.contactMs) {
      return null;
    }
    seen.lateRuns++;
    return seen.lateRuns > MOST_LATE_RUNS
      ? `${id} reached ${engine}, its late run ${seen.lateRuns}; ${seen.ends} ended`
      : null;
  }
}
