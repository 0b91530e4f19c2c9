/** Checks the history of a soak against the product's promises. Pure: uses only events observed from outside. */
import type {SoakBounds, SoakBreak, SoakEvent, SoakPromise, SoakResult} from './SoakTypes';

import {SoakConfigurationCheck} from './SoakConfigurations';
import {SETTLE_AFTER_FAULT_MS, SoakDisturbances} from './SoakDisturbances';
import {SoakFatals} from './SoakFatals';
import {
  eventCount,
  fatalOf,
  IMPOSSIBLE,
  itemText,
  onceText,
  SOFTWARE_VERSIONS,
  withoutVersion,
} from './SoakOutput';
import {SoakStreams} from './SoakStreams';

/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Lowest status that is not a success. */
const FIRST_FAILURE = 300;
/** Least fraction of the requests after the recovery that must succeed. */
const MIN_SERVED_FRACTION = 0.5;

type EventOf<Kind extends SoakEvent['kind']> = Extract<SoakEvent, {kind: Kind}>;

/** Observed state of a batch job. */
interface SeenJob {
  acceptedAt: number | undefined;
  endAcceptedAt: number | undefined;
  readonly items: readonly string[];
  readonly results: SoakResult[];
}

function isSameResult(a: SoakResult, b: SoakResult): boolean {
  return a.id === b.id && a.outcome === b.outcome && a.text === b.text;
}

/** Checks one history, event by event. */
class HistoryCheck {
  readonly breaks: SoakBreak[] = [];
  private readonly asked = new Map<string, EventOf<'asked'>>();
  private readonly configurations: SoakConfigurationCheck;
  private readonly disturbances = new SoakDisturbances();
  private readonly fatals: SoakFatals;
  private readonly finishedRuns = new Set<string>();
  private readonly items = new Map<string, string>();
  private readonly jobs = new Map<string, SeenJob>();
  private readonly leftAt = new Map<string, number>();
  private recoveredAt = Infinity;
  private readonly refused = new Set<string>();
  private readonly refusedJobs = new Set<string>();
  private readonly runs = new Map<string, number>();
  private servedSince = 0;
  private readonly streams = new SoakStreams();
  private stops = new Map<string, number>();
  private unservedSince = 0;

  constructor(private readonly bounds: SoakBounds) {
    this.configurations = new SoakConfigurationCheck(bounds);
    this.fatals = new SoakFatals(bounds.contactMs);
  }

  apply(event: SoakEvent): void {
    switch (event.kind) {
      case 'answered':
        this.onAnswer(event);
        return;
      case 'asked':
        this.asked.set(event.id, event);
        this.fatals.noteAsked(event.at, event.id);
        return;
      case 'broken':
        this.onBroken(event);
        return;
      case 'configAccepted':
        this.configurations.noteAccepted(event.at, event.version);
        return;
      case 'configRefused':
        this.fail(event.at, 'acceptedConfigStays', `valid version ${event.version} was refused`);
        return;
      case 'configRead':
        this.onConfigRead(event);
        return;
      case 'configSent':
        this.configurations.noteSent(event.version);
        return;
      case 'ended':
        this.onEnd(event.at);
        return;
      case 'engineEnded':
        this.fatals.noteCrash(event.at, event.request);
        this.disturbances.noteEngineEnd(event.at);
        return;
      case 'faultBegan':
        this.onFault(event, 1);
        return;
      case 'faultEnded':
        this.onFault(event, -1);
        return;
      case 'finished':
        this.finishedRuns.add(event.id);
        return;
      case 'invalidConfigAccepted':
        this.fail(event.at, 'invalidConfigIsRefused', `confirmed: ${event.fault}`);
        return;
      case 'jobAccepted':
        this.onJobAccepted(event);
        return;
      case 'jobEndAccepted': {
        const job = this.jobs.get(event.job);
        if (job !== undefined) {
          job.endAcceptedAt ??= event.at;
        }
        return;
      }
      case 'jobNotFound':
        this.onNotFound(event);
        return;
      case 'jobRead':
        this.onJobRead(event);
        return;
      case 'jobRefused':
        this.refusedJobs.add(event.job);
        this.checkRefusedJob(event.at, event.job);
        return;
      case 'jobSent':
        this.jobs.set(event.job, {
          acceptedAt: undefined,
          endAcceptedAt: undefined,
          items: event.items,
          results: [],
        });
        event.items.forEach((item) => this.items.set(item, event.job));
        return;
      case 'leaveAccepted':
        this.leftAt.set(
          event.engine,
          Math.min(event.at, this.leftAt.get(event.engine) ?? event.at),
        );
        return;
      case 'probed':
        this.onProbe(event);
        return;
      case 'ran':
        this.onRun(event);
        return;
      case 'recovered':
        this.recoveredAt = event.at;
        return;
    }
  }

  private fail(at: number, promise: SoakPromise, detail: string): void {
    this.breaks.push({at, detail, promise});
  }

  private onFault({at, fault}: EventOf<'faultBegan' | 'faultEnded'>, change: 1 | -1): void {
    if (fault.kind === 'stop') {
      if (change > 0) {
        this.stops.set(fault.vm, at);
      } else {
        this.stops.delete(fault.vm);
      }
    }
    if (fault.kind === 'kill' || fault.kind === 'stop' || fault.kind === 'wipe') {
      this.configurations.noteProcessEnd(fault.vm);
    } else if (fault.kind === 'killAll') {
      this.configurations.noteProcessEnd(null);
    }
    this.disturbances.noteFault(at, fault, change);
  }

  private onAnswer({at, id, left = false, status, text, whole}: EventOf<'answered'>): void {
    const asked = this.asked.get(id);
    if (fatalOf(id) === null && !left) {
      this.countServed(at, status < FIRST_FAILURE && whole);
    }
    if (asked === undefined) {
      this.fail(at, 'answerIsOwnAndWhole', `response to ${id}, which was never sent`);
      return;
    }
    if (status < FIRST_FAILURE) {
      this.checkText(at, asked, text, whole);
    }
    if (asked.route === 'stream' && fatalOf(id) === null) {
      this.countStream(asked, status < FIRST_FAILURE && eventCount(text) > 0);
    }
    if (NOT_RUN.has(status) && asked.route === 'once') {
      this.refused.add(id);
      if (this.runs.has(id)) {
        this.fail(at, 'notRunIsTrue', `${id} got ${status} and had run`);
      }
    }
  }

  private countStream({at, resumes}: EventOf<'asked'>, hasBegun: boolean): void {
    if (this.disturbances.isCalm(at)) {
      this.streams.count(resumes === undefined ? 'fresh' : 'return', hasBegun);
    }
    if (
      resumes === undefined &&
      this.disturbances.isUndisturbed(at) &&
      this.fatals.isFamilyHeld(at)
    ) {
      this.streams.count('sharer', hasBegun);
    }
  }

  /** An incomplete response must be a prefix of the expected one. */
  private checkText(
    at: number,
    {id, resumes, route}: EventOf<'asked'>,
    text: string,
    whole: boolean,
  ): void {
    const detail = `${id} got ${whole ? '' : 'incomplete '}${JSON.stringify(text.slice(0, 200))}`;
    if (route === 'once') {
      const expected = onceText(id);
      if (whole ? text !== expected : !expected.startsWith(text)) {
        this.fail(at, 'answerIsOwnAndWhole', detail);
      }
      return;
    }
    switch (this.streams.check({id, resumes, text, whole})) {
      case 'otherContent':
        this.fail(at, 'answerIsOwnAndWhole', detail);
        return;
      case 'otherVersion':
        this.fail(at, 'outputKeepsVersion', detail);
        return;
      case undefined:
        return;
    }
  }

  private onBroken({at, id}: EventOf<'broken'>): void {
    if (fatalOf(id) !== null) {
      return;
    }
    this.countServed(at, false);
    const asked = this.asked.get(id);
    const stoppedAt = asked === undefined ? undefined : this.stops.get(asked.vm);
    const duringStop = stoppedAt !== undefined && asked!.at >= stoppedAt - SETTLE_AFTER_FAULT_MS;
    if (duringStop && this.disturbances.isUndisturbed(at) && this.runs.has(id)) {
      this.fail(at, 'plannedStopCutsNothing', `${id} at ${asked!.vm}`);
    }
  }

  private countServed(at: number, isServed: boolean): void {
    if (at >= this.recoveredAt) {
      if (isServed) {
        this.servedSince++;
      } else {
        this.unservedSince++;
      }
    }
  }

  private onRun({at, engine, id}: EventOf<'ran'>): void {
    const runs = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, runs);
    const asked = this.asked.get(id);
    const jobId = this.items.get(id);
    if (asked === undefined && jobId === undefined) {
      this.fail(at, 'runsWereAsked', `${id} ran at ${engine}`);
    }
    if (asked?.route === 'once' && runs > 1) {
      this.fail(at, 'onceRunsOnce', `${id} ran ${runs} times, now at ${engine}`);
    }
    if (this.refused.has(id)) {
      this.fail(at, 'notRunIsTrue', `${id} was refused and ran later at ${engine}`);
    }
    this.checkFatal(at, engine, id);
    if (jobId !== undefined) {
      this.checkRefusedJob(at, jobId);
      this.checkCancelled(at, id, jobId);
    }
    const leftAt = this.leftAt.get(engine);
    if (
      leftAt !== undefined &&
      at - leftAt > this.bounds.drainMs &&
      this.disturbances.isUndisturbed(at)
    ) {
      this.fail(at, 'leavingEngineGetsNothing', `${id} at ${engine}, which left at ${leftAt}`);
    }
  }

  /** Skipped after a disturbance: VMs may not have received the evidence yet. */
  private checkFatal(at: number, engine: string, id: string): void {
    const detail = this.disturbances.isUndisturbed(at) ? this.fatals.noteRun(at, engine, id) : null;
    if (detail !== null) {
      this.fail(at, 'requestEndsFewEngines', detail);
    }
  }

  private checkRefusedJob(at: number, jobId: string): void {
    const ran = this.jobs.get(jobId)?.items.find((item) => this.runs.has(item));
    if (this.refusedJobs.has(jobId) && ran !== undefined) {
      this.fail(at, 'notRunIsTrue', `job ${jobId} was refused, and item ${ran} ran`);
    }
  }

  private checkCancelled(at: number, item: string, jobId: string): void {
    const endedAt = this.jobs.get(jobId)?.endAcceptedAt;
    if (
      endedAt !== undefined &&
      at - endedAt > this.bounds.cancelMs &&
      this.disturbances.isUndisturbed(at)
    ) {
      this.fail(
        at,
        'cancelledJobStops',
        `item ${item} of ${jobId}, which was cancelled at ${endedAt}`,
      );
    }
  }

  private onJobAccepted({at, job}: EventOf<'jobAccepted'>): void {
    const seen = this.jobs.get(job);
    if (seen !== undefined) {
      seen.acceptedAt ??= at;
    }
  }

  private onNotFound({at, job, sentAt, vm}: EventOf<'jobNotFound'>): void {
    const acceptedAt = this.jobs.get(job)?.acceptedAt;
    if (acceptedAt !== undefined && sentAt - acceptedAt > this.bounds.settleMs) {
      this.fail(
        at,
        'acceptedJobIsFound',
        `${vm} does not find job ${job}, accepted at ${acceptedAt}`,
      );
    }
  }

  private onJobRead({at, from, job, results, total, vm}: EventOf<'jobRead'>): void {
    const seen = this.jobs.get(job);
    if (seen === undefined) {
      this.fail(at, 'acceptedJobIsFound', `${vm} returned job ${job}, which was never sent`);
      return;
    }
    if (total !== seen.items.length) {
      this.fail(at, 'resultsStay', `job ${job} has ${total} items at ${vm}`);
    }
    results.forEach((result, offset) => this.onResult(at, job, seen, from + offset, result));
  }

  private onResult(
    at: number,
    job: string,
    seen: SeenJob,
    position: number,
    result: SoakResult,
  ): void {
    const previous = seen.results[position];
    if (previous !== undefined) {
      if (!isSameResult(previous, result)) {
        this.fail(
          at,
          'resultsStay',
          `job ${job} position ${position}: ${previous.id}, ${result.id}`,
        );
      }
      return;
    }
    seen.results[position] = result;
    if (!seen.items.includes(result.id)) {
      this.fail(at, 'resultIsWhole', `job ${job} lists ${result.id}, which is not its own`);
    }
    const positions = seen.results.filter((other) => other?.id === result.id);
    if (positions.length > 1) {
      this.fail(at, 'itemEndsOnce', `item ${result.id} of ${job} is listed at two positions`);
    }
    this.checkOutcome(at, job, seen, result);
  }

  private checkOutcome(at: number, job: string, seen: SeenJob, result: SoakResult): void {
    const isImpossible = result.id.includes(IMPOSSIBLE);
    const expected = SOFTWARE_VERSIONS.map((version) => itemText(result.id, version));
    if (result.outcome === 'completed' && (isImpossible || !expected.includes(result.text))) {
      const text = JSON.stringify(result.text.slice(0, 200));
      const isWhole = withoutVersion(result.text) === withoutVersion(expected[0]!);
      const promise = isWhole && !isImpossible ? 'outputKeepsVersion' : 'resultIsWhole';
      this.fail(at, promise, `item ${result.id} of ${job}: ${text}`);
    }
    // Items of a cancelled job may be given up.
    if (result.outcome === 'givenUp' && !isImpossible && seen.endAcceptedAt === undefined) {
      this.fail(at, 'itemEndsOnce', `item ${result.id} of ${job} was given up`);
    }
  }

  private onConfigRead({at, sentAt, version, vm}: EventOf<'configRead'>): void {
    const due = this.configurations.dueAt(sentAt);
    if (version < due) {
      this.fail(at, 'acceptedConfigStays', `${vm} returned version ${version} after ${due}`);
    }
    if (version > this.configurations.newest) {
      this.fail(
        at,
        'acceptedConfigStays',
        `${vm} returned version ${version}, which was never sent`,
      );
    }
  }

  private onProbe(event: EventOf<'probed'>): void {
    const isTimely = this.disturbances.isUndisturbed(event.at);
    const fault = this.configurations.check(event, isTimely);
    if (fault !== undefined) {
      this.fail(event.at, 'configIsInForce', fault);
    }
  }

  private onEnd(at: number): void {
    for (const [id, {acceptedAt, endAcceptedAt, items, results}] of this.jobs) {
      const listed = results.filter((result) => result !== undefined).length;
      if (acceptedAt !== undefined && endAcceptedAt === undefined && listed < items.length) {
        const missing = `${listed} of ${items.length} items listed`;
        this.fail(at, 'acceptedJobIsFound', `job ${id}, accepted at ${acceptedAt}: ${missing}`);
      }
    }
    const lostReturns = this.streams.describeLost('return');
    if (lostReturns !== undefined) {
      this.fail(at, 'streamsGoOn', lostReturns);
    }
    const lostSharers = this.streams.describeLost('sharer');
    if (lostSharers !== undefined) {
      this.fail(at, 'sharersAreServed', lostSharers);
    }
    const asked = this.servedSince + this.unservedSince;
    if (this.recoveredAt < Infinity && this.servedSince < asked * MIN_SERVED_FRACTION) {
      this.fail(at, 'fleetRecovers', `${this.servedSince} of ${asked} requests served`);
    }
    if (this.recoveredAt < Infinity && asked === 0) {
      this.fail(at, 'fleetRecovers', 'no requests after the recovery');
    }
  }
}

/**
 * Checks a history.
 *
 * @param events events in order
 * @param bounds time bounds that the fleet must keep
 * @returns violations, in order
 */
export function checkHistory(
  events: readonly SoakEvent[],
  bounds: SoakBounds,
): readonly SoakBreak[] {
  const check = new HistoryCheck(bounds);
  events.forEach((event) => check.apply(event));
  return check.breaks;
}
