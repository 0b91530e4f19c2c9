/**
 * Callers of a soak: online requests over connections that stay open, batch jobs that are sent until they are taken, read
 * all the while, and some of them ended.
 */
import {Agent} from 'node:http';
import {delay, exponentialMs, type Random, seededRandom} from 'stallpaddle';

import type {SoakFleet} from './SoakFleet';
import type {SoakHistory} from './SoakHistory';
import type {SoakRoute} from './SoakTypes';
import type {SoakCall, SoakWire} from './SoakWire';

import {makeCall, type SoakReply} from './SoakHttp';
import {fatalAttempt, fatalContent, IMPOSSIBLE} from './SoakOutput';

/** What callers are made of. */
export interface SoakCallersOptions {
  readonly fleet: SoakFleet;
  readonly history: SoakHistory;
  readonly seed: number;
  readonly words: SoakWire;
}

/** Online requests a second. */
const ONLINE_PER_SECOND = 15;
/** Batch jobs a second. */
const JOBS_PER_SECOND = 1;
const LEAST_ITEMS = 2;
const MOST_ITEMS = 6;
/** Part of the items that no engine can do. */
const IMPOSSIBLE_PART = 0.04;
/** Part of the jobs that are ended. */
const ENDED_PART = 0.1;
/** Longest time that a caller waits, in milliseconds. */
const DEADLINE_MS = 4_000;
/** Time that a caller allows beyond its deadline, in milliseconds. */
const PATIENCE_MS = 1_000;
/** Longest wait for an answer about a job, in milliseconds. */
const JOB_MS = 2_000;
/** Pause between two tries to send a job, in milliseconds. */
const SEND_AGAIN_MS = 200;
/** Most tries to send a job. */
const MOST_SENDS = 60;
/** Pause between two reads of results, in milliseconds. */
const READ_AGAIN_MS = 150;
/** Pause between two questions which VMs to use, in milliseconds. */
const ADDRESSES_AGAIN_MS = 1_000;
/** Time for which a caller sends one request that ends engines, in milliseconds. */
const FATAL_FOR_MS = 8_000;
/** Pause of that caller after an answer, in milliseconds. */
const FATAL_AGAIN_MS = 120;
/** Statuses that promise that nothing runs. */
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

interface TakenJob {
  readonly id: string;
  readonly items: readonly string[];
  isEnded: boolean;
  /** Results that were read. */
  seen: number;
}

/** See the module's comment. */
export class SoakCallers {
  private addresses: readonly string[] = [];
  private readonly agent = new Agent({keepAlive: true, maxSockets: 4});
  private readonly jobs: TakenJob[] = [];
  private number = 0;
  private readonly open = new Set<Promise<void>>();
  private readonly random: Random;
  private stopped = false;

  /**
   * @param options what they are made of
   */
  constructor(private readonly options: SoakCallersOptions) {
    this.random = seededRandom(options.seed + 1);
  }

  /** Online requests and jobs so far. */
  get counts(): {readonly jobs: number; readonly requests: number} {
    return {jobs: this.jobs.length, requests: this.number};
  }

  /** Begins. */
  start(): void {
    this.keep(this.learnAddresses());
    this.keep(this.askOn());
    this.keep(this.submitOn());
    this.keep(this.readOn());
    this.keep(this.askFatallyOn());
  }

  /** Sends nothing new, and waits for what is under way. */
  async stop(): Promise<void> {
    this.stopped = true;
    while (this.open.size > 0) {
      await Promise.all(this.open);
    }
  }

  /**
   * Reads every job until all of it is listed, at the VMs in turn.
   *
   * @param mostMs longest time for all, in milliseconds
   */
  async readAll(mostMs: number): Promise<void> {
    const endAt = performance.now() + mostMs;
    const read = async (job: TakenJob): Promise<void> => {
      while (!job.isEnded && job.seen < job.items.length && performance.now() < endAt) {
        await this.readOnce(job, job.seen);
        await delay(READ_AGAIN_MS);
      }
      // Once more from the start, as it was read before.
      await this.readOnce(job, 0);
    };
    await Promise.all(this.jobs.map(read));
    this.agent.destroy();
  }

  private keep(work: Promise<void>): void {
    const kept: Promise<void> = work.finally(() => this.open.delete(kept));
    this.open.add(kept);
  }

  private anyEntry(): string {
    const {entryNames} = this.options.fleet;
    return entryNames[Math.floor(this.random() * entryNames.length)]!;
  }

  /** Where the next connection goes; null while nobody has told. */
  private anyAddress(): null | string {
    return this.addresses[Math.floor(this.random() * this.addresses.length)] ?? null;
  }

  private async learnAddresses(): Promise<void> {
    const {fleet, words} = this.options;
    while (!this.stopped) {
      const address = fleet.addressOf(this.anyEntry(), 'directory');
      const reply = await this.callOnce(words.addresses, address, JOB_MS);
      if (reply.kind === 'answer' && reply.status === 200 && reply.whole) {
        this.addresses = words.readAddresses(reply.text);
      }
      await delay(this.addresses.length > 0 ? ADDRESSES_AGAIN_MS : READ_AGAIN_MS);
    }
  }

  private async askOn(): Promise<void> {
    while (!this.stopped) {
      await delay(exponentialMs(this.random, ONLINE_PER_SECOND));
      const address = this.anyAddress();
      if (address !== null) {
        this.keep(this.ask(address, this.random() < 0.3 ? 'once' : 'stream'));
      }
    }
  }

  /** One request that ends engines after the other: each comes again at once, at any VM, over and over. */
  private async askFatallyOn(): Promise<void> {
    for (let number = 1; !this.stopped; number++) {
      const content = fatalContent(number);
      const endAt = performance.now() + FATAL_FOR_MS;
      for (let attempt = 1; performance.now() < endAt && !this.stopped; attempt++) {
        const address = this.anyAddress();
        if (address !== null) {
          const route = number % 2 === 0 ? 'once' : 'stream';
          await this.askAs(fatalAttempt(content, attempt), content, address, route);
        }
        await delay(FATAL_AGAIN_MS);
      }
    }
  }

  private ask(address: string, route: SoakRoute): Promise<void> {
    const id = `q${++this.number}`;
    return this.askAs(id, id, address, route);
  }

  private async askAs(
    id: string,
    content: string,
    address: string,
    route: SoakRoute,
  ): Promise<void> {
    const {fleet, history, words} = this.options;
    history.note({id, kind: 'asked', route, vm: fleet.vmAt(address)});
    const mostMs = DEADLINE_MS + PATIENCE_MS;
    const reply = await makeCall(words.ask(id, route, DEADLINE_MS, content), {
      address,
      agent: this.agent,
      mostMs,
    });
    if (reply.kind === 'broken') {
      history.note({id, kind: 'broken'});
    } else {
      const {status, text, whole} = reply;
      history.note({id, kind: 'answered', status, text, whole});
    }
  }

  private async submitOn(): Promise<void> {
    while (!this.stopped) {
      await delay(exponentialMs(this.random, JOBS_PER_SECOND));
      this.keep(this.submit());
    }
  }

  private async submit(): Promise<void> {
    const {history, words} = this.options;
    const id = `job${++this.number}`;
    const count = LEAST_ITEMS + Math.floor(this.random() * (MOST_ITEMS - LEAST_ITEMS + 1));
    const items = Array.from({length: count}, (_, at) =>
      this.random() < IMPOSSIBLE_PART ? `${id}-${at}-${IMPOSSIBLE}` : `${id}-${at}`,
    );
    history.note({items, job: id, kind: 'jobSent'});
    const endsEarly = this.random() < ENDED_PART;
    let isUnclear = false;
    for (let tries = 0; tries < MOST_SENDS; tries++) {
      const address = this.anyAddress();
      const reply = address && (await this.callOnce(words.submit(id, items), address, JOB_MS));
      if (reply && reply.kind === 'answer' && reply.status === 202) {
        history.note({job: id, kind: 'jobAccepted'});
        const job = {id, isEnded: false, items, seen: 0};
        this.jobs.push(job);
        await (endsEarly ? this.end(job) : Promise.resolve());
        return;
      }
      isUnclear ||= reply !== null && reply !== '' && !isRefusal(reply);
      await delay(SEND_AGAIN_MS);
    }
    if (!isUnclear) {
      history.note({job: id, kind: 'jobRefused'});
    }
  }

  private async end(job: TakenJob): Promise<void> {
    const {history, words} = this.options;
    // From here on nobody owes its items.
    job.isEnded = true;
    for (let tries = 0; tries < MOST_SENDS; tries++) {
      const address = this.anyAddress();
      const reply = address && (await this.callOnce(words.endJob(job.id), address, JOB_MS));
      if (reply && reply.kind === 'answer' && reply.status === 200) {
        history.note({job: job.id, kind: 'jobEndAccepted'});
        return;
      }
      await delay(SEND_AGAIN_MS);
    }
  }

  private async readOn(): Promise<void> {
    while (!this.stopped) {
      await delay(READ_AGAIN_MS);
      const job = this.jobs[Math.floor(this.random() * this.jobs.length)];
      if (job !== undefined) {
        await this.readOnce(job, Math.floor(this.random() * (job.seen + 1)));
      }
    }
  }

  private async readOnce(job: TakenJob, from: number): Promise<void> {
    const {fleet, history, words} = this.options;
    const vm = this.anyEntry();
    const sentAt = history.now;
    const address = fleet.addressOf(vm, 'callers');
    const reply = await this.callOnce(words.readJob(job.id, from), address, JOB_MS);
    if (reply.kind === 'broken' || !reply.whole) {
      return;
    }
    if (reply.status === 404) {
      history.note({job: job.id, kind: 'jobNotFound', sentAt, vm});
    } else if (reply.status === 200) {
      const {results, total} = words.readResults(reply.text);
      history.note({from, job: job.id, kind: 'jobRead', results, total, vm});
      job.seen = Math.max(job.seen, from + results.length);
    }
  }

  private callOnce(call: SoakCall, address: string, mostMs: number): Promise<SoakReply> {
    return makeCall(call, {address, agent: false, mostMs});
  }
}

function isRefusal(reply: SoakReply): boolean {
  return reply.kind === 'answer' && REFUSALS.has(reply.status);
}
