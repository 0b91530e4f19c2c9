/** Callers of a soak. */
import {Agent} from 'node:http';
import {delay, exponentialMs, type Random, seededRandom} from 'stallpaddle';

import type {SoakFleet} from './SoakFleet';
import type {SoakHistory} from './SoakHistory';
import type {TakenUpStream} from './SoakStreams';
import type {SoakRoute} from './SoakTypes';
import type {SoakCall, SoakWire} from './SoakWire';

import {makeCall, type SoakReply} from './SoakHttp';
import {
  eventCount,
  fatalAttempt,
  fatalContent,
  fatalMember,
  IMPOSSIBLE,
  OUTPUT_EVENTS,
} from './SoakOutput';

/** Options of the callers. */
export interface SoakCallersOptions {
  readonly fleet: SoakFleet;
  readonly history: SoakHistory;
  readonly seed: number;
  readonly wire: SoakWire;
}

/** Online requests per second. */
const ONLINE_PER_SECOND = 15;
/** Batch jobs per second. */
const JOBS_PER_SECOND = 1;
const MIN_ITEMS = 2;
const MAX_ITEMS = 6;
/** Fraction of the items that every engine rejects. */
const IMPOSSIBLE_FRACTION = 0.04;
/** Fraction of the jobs that are cancelled. */
const CANCELLED_FRACTION = 0.1;
/** Deadline of an online request, in milliseconds. */
const DEADLINE_MS = 4_000;
/** Time that a caller waits beyond the deadline, in milliseconds. */
const DEADLINE_MARGIN_MS = 1_000;
/** Timeout of calls about a job, in milliseconds. */
const JOB_TIMEOUT_MS = 2_000;
/** Pause between two attempts to submit a job, in milliseconds. */
const SEND_RETRY_MS = 200;
/** Maximum number of attempts to submit or cancel a job. */
const MAX_SENDS = 60;
/** Pause between two reads of results, in milliseconds. */
const READ_INTERVAL_MS = 150;
/** Pause between two queries of the addresses, in milliseconds. */
const ADDRESSES_INTERVAL_MS = 1_000;
/** Time for which a caller repeats one fatal request, in milliseconds. */
const FATAL_DURATION_MS = 8_000;
/** Time for which a caller sends requests of one fatal family: long enough to see whether others are served meanwhile. */
const FAMILY_DURATION_MS = 14_000;
/** Pause between two attempts at a fatal request, in milliseconds. */
const FATAL_PAUSE_MS = 120;
/** Fraction of the callers of streams that disconnect midway. */
const LEAVING_FRACTION = 0.25;
/** Most events after which such a caller disconnects. */
const MAX_LEAVE_EVENTS = 8;
/** Number of times that a caller takes a stream up again. */
const MAX_RETURNS = 2;
/** Longest pause before a caller takes a stream up again, in milliseconds. */
const MAX_RETURN_PAUSE_MS = 100;
/** Statuses that guarantee that nothing of a job runs. */
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

interface AttemptOptions {
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  /** Number of events after which the caller disconnects; never if omitted. */
  readonly leaveAfter?: number | undefined;
  /** Stream that the attempt takes up again. */
  readonly resumes?: TakenUpStream;
}

interface AcceptedJob {
  readonly id: string;
  readonly items: readonly string[];
  isCancelled: boolean;
  /** Number of results that were read. */
  seen: number;
}

/** Sends online requests, submits batch jobs until they are accepted, reads their results and cancels some of them. */
export class SoakCallers {
  private addresses: readonly string[] = [];
  private readonly agent = new Agent({keepAlive: true, maxSockets: 4});
  private readonly jobs: AcceptedJob[] = [];
  private number = 0;
  private readonly open = new Set<Promise<void>>();
  private readonly random: Random;
  private stopped = false;

  /**
   * @param options options of the callers
   */
  constructor(private readonly options: SoakCallersOptions) {
    this.random = seededRandom(options.seed + 1);
  }

  /** Number of accepted jobs, and of requests and jobs sent so far. */
  get counts(): {readonly jobs: number; readonly requests: number} {
    return {jobs: this.jobs.length, requests: this.number};
  }

  /** Starts all callers. */
  start(): void {
    this.track(this.refreshAddresses());
    this.track(this.sendRequests());
    this.track(this.submitJobs());
    this.track(this.readJobs());
    this.track(this.sendFatalRequests());
  }

  /** Stops sending and waits for all open calls. */
  async stop(): Promise<void> {
    this.stopped = true;
    while (this.open.size > 0) {
      await Promise.all(this.open);
    }
  }

  /**
   * Reads the results of every job until all its items are listed, each time at a random VM.
   *
   * @param timeoutMs timeout for all jobs together, in milliseconds
   */
  async readAll(timeoutMs: number): Promise<void> {
    const endAt = performance.now() + timeoutMs;
    const read = async (job: AcceptedJob): Promise<void> => {
      while (!job.isCancelled && job.seen < job.items.length && performance.now() < endAt) {
        await this.readJobOnce(job, job.seen);
        await delay(READ_INTERVAL_MS);
      }
      // Reads all results again, so that the checker compares them with the earlier reads.
      await this.readJobOnce(job, 0);
    };
    await Promise.all(this.jobs.map(read));
    this.agent.destroy();
  }

  private track(work: Promise<void>): void {
    const tracked: Promise<void> = work.finally(() => this.open.delete(tracked));
    this.open.add(tracked);
  }

  private randomEntry(): string {
    const {entryNames} = this.options.fleet;
    return entryNames[Math.floor(this.random() * entryNames.length)]!;
  }

  /** Returns a random address for callers; null while none is known. */
  private randomAddress(): null | string {
    return this.addresses[Math.floor(this.random() * this.addresses.length)] ?? null;
  }

  private async refreshAddresses(): Promise<void> {
    const {fleet, wire} = this.options;
    while (!this.stopped) {
      const address = fleet.addressOf(this.randomEntry(), 'directory');
      const reply = await this.callOnce(wire.addresses, address, JOB_TIMEOUT_MS);
      if (reply.kind === 'answer' && reply.status === 200 && reply.whole) {
        this.addresses = wire.readAddresses(reply.text);
      }
      await delay(this.addresses.length > 0 ? ADDRESSES_INTERVAL_MS : READ_INTERVAL_MS);
    }
  }

  private async sendRequests(): Promise<void> {
    while (!this.stopped) {
      await delay(exponentialMs(this.random, ONLINE_PER_SECOND));
      const address = this.randomAddress();
      if (address !== null) {
        this.track(this.ask(address, this.random() < 0.3 ? 'once' : 'stream'));
      }
    }
  }

  /**
   * Sends fatal requests at random VMs, one after the other: by turns one request repeatedly, and requests that share a part of
   * their prompts and differ in all else.
   */
  private async sendFatalRequests(): Promise<void> {
    for (let number = 1; !this.stopped; number++) {
      const isFamily = number % 2 === 0;
      const endAt = performance.now() + (isFamily ? FAMILY_DURATION_MS : FATAL_DURATION_MS);
      for (let attempt = 1; performance.now() < endAt && !this.stopped; attempt++) {
        const content = isFamily ? fatalMember(number, attempt) : fatalContent(number);
        const address = this.randomAddress();
        if (address !== null) {
          const route = number % 4 < 2 ? 'once' : 'stream';
          await this.sendAttempt(fatalAttempt(content, attempt), content, address, route);
        }
        await delay(FATAL_PAUSE_MS);
      }
    }
  }

  /** Sends a request; a stream that ends early is taken up again at other VMs. */
  private async ask(address: string, route: SoakRoute): Promise<void> {
    const id = `q${++this.number}`;
    const endAt = performance.now() + DEADLINE_MS;
    const isLeaving = route === 'stream' && this.random() < LEAVING_FRACTION;
    const leaveAfter = isLeaving ? 1 + Math.floor(this.random() * MAX_LEAVE_EVENTS) : undefined;
    const first = await this.sendAttempt(id, id, address, route, {leaveAfter});
    let after = eventsOf(first);
    for (let again = 1; again <= MAX_RETURNS && canTakeUp(route, after); again++) {
      await delay(this.random() * MAX_RETURN_PAUSE_MS);
      const next = this.randomAddress();
      const deadlineMs = Math.round(endAt - performance.now());
      if (next === null || deadlineMs <= 0) {
        return;
      }
      const resumes = {after, firstAttempt: id};
      const reply = await this.sendAttempt(`${id}.again${again}`, id, next, route, {
        deadlineMs,
        resumes,
      });
      after += eventsOf(reply);
    }
  }

  private async sendAttempt(
    id: string,
    content: string,
    address: string,
    route: SoakRoute,
    {deadlineMs = DEADLINE_MS, leaveAfter, resumes}: AttemptOptions = {},
  ): Promise<SoakReply> {
    const {fleet, history, wire} = this.options;
    history.note({id, kind: 'asked', resumes, route, vm: fleet.vmAt(address)});
    const timeoutMs = deadlineMs + DEADLINE_MARGIN_MS;
    const reply = await makeCall(wire.ask(id, route, deadlineMs, content, resumes), {
      address,
      agent: this.agent,
      leaveAfter,
      timeoutMs,
    });
    if (reply.kind === 'broken') {
      history.note({id, kind: 'broken'});
    } else {
      const {status, text, whole} = reply;
      const left = !whole && leaveAfter !== undefined && eventsOf(reply) >= leaveAfter;
      history.note({id, kind: 'answered', left, status, text, whole});
    }
    return reply;
  }

  private async submitJobs(): Promise<void> {
    while (!this.stopped) {
      await delay(exponentialMs(this.random, JOBS_PER_SECOND));
      this.track(this.submit());
    }
  }

  private async submit(): Promise<void> {
    const {history, wire} = this.options;
    const id = `job${++this.number}`;
    const count = MIN_ITEMS + Math.floor(this.random() * (MAX_ITEMS - MIN_ITEMS + 1));
    const items = Array.from({length: count}, (_, at) =>
      this.random() < IMPOSSIBLE_FRACTION ? `${id}-${at}-${IMPOSSIBLE}` : `${id}-${at}`,
    );
    history.note({items, job: id, kind: 'jobSent'});
    const isToCancel = this.random() < CANCELLED_FRACTION;
    let mayBeAccepted = false;
    for (let attempt = 0; attempt < MAX_SENDS; attempt++) {
      const address = this.randomAddress();
      const reply =
        address && (await this.callOnce(wire.submit(id, items), address, JOB_TIMEOUT_MS));
      if (reply && reply.kind === 'answer' && reply.status === 202) {
        history.note({job: id, kind: 'jobAccepted'});
        const job = {id, isCancelled: false, items, seen: 0};
        this.jobs.push(job);
        await (isToCancel ? this.cancel(job) : Promise.resolve());
        return;
      }
      mayBeAccepted ||= reply !== null && reply !== '' && !isRefusal(reply);
      await delay(SEND_RETRY_MS);
    }
    if (!mayBeAccepted) {
      history.note({job: id, kind: 'jobRefused'});
    }
  }

  private async cancel(job: AcceptedJob): Promise<void> {
    const {history, wire} = this.options;
    // The checker no longer requires results of all its items.
    job.isCancelled = true;
    for (let attempt = 0; attempt < MAX_SENDS; attempt++) {
      const address = this.randomAddress();
      const reply = address && (await this.callOnce(wire.endJob(job.id), address, JOB_TIMEOUT_MS));
      if (reply && reply.kind === 'answer' && reply.status === 200) {
        history.note({job: job.id, kind: 'jobEndAccepted'});
        return;
      }
      await delay(SEND_RETRY_MS);
    }
  }

  private async readJobs(): Promise<void> {
    while (!this.stopped) {
      await delay(READ_INTERVAL_MS);
      const job = this.jobs[Math.floor(this.random() * this.jobs.length)];
      if (job !== undefined) {
        await this.readJobOnce(job, Math.floor(this.random() * (job.seen + 1)));
      }
    }
  }

  private async readJobOnce(job: AcceptedJob, from: number): Promise<void> {
    const {fleet, history, wire} = this.options;
    const vm = this.randomEntry();
    const sentAt = history.now;
    const address = fleet.addressOf(vm, 'callers');
    const reply = await this.callOnce(wire.readJob(job.id, from), address, JOB_TIMEOUT_MS);
    if (reply.kind === 'broken' || !reply.whole) {
      return;
    }
    if (reply.status === 404) {
      history.note({job: job.id, kind: 'jobNotFound', sentAt, vm});
    } else if (reply.status === 200) {
      const {results, total} = wire.readResults(reply.text);
      history.note({from, job: job.id, kind: 'jobRead', results, total, vm});
      job.seen = Math.max(job.seen, from + results.length);
    }
  }

  private callOnce(call: SoakCall, address: string, timeoutMs: number): Promise<SoakReply> {
    return makeCall(call, {address, agent: false, timeoutMs});
  }
}

/** Number of complete events that a response brought. */
function eventsOf(reply: SoakReply): number {
  return reply.kind === 'answer' && reply.status === 200 ? eventCount(reply.text) : 0;
}

function canTakeUp(route: SoakRoute, after: number): boolean {
  return route === 'stream' && after > 0 && after < OUTPUT_EVENTS;
}

function isRefusal(reply: SoakReply): boolean {
  return reply.kind === 'answer' && REFUSALS.has(reply.status);
}
