/**
 * A stand-in engine that registers itself, streams numbered events, and fails when it is told to. Each start knows nothing
 * of the one before.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {createServer} from 'node:http';
import PQueue from 'p-queue';
import {delay, generateId, type Random} from 'stallpaddle';

import type {SoakHistory} from './SoakHistory';
import type {EngineReport, SoakWire} from './SoakWire';

import {makeCall} from './SoakHttp';
import {eventText, fatalOf, IMPOSSIBLE, onceText, OUTPUT_EVENTS} from './SoakOutput';

/** What an engine is made of. */
export interface SoakEngineOptions {
  /** Addresses at which engines report themselves. */
  readonly controls: readonly string[];
  readonly history: SoakHistory;
  readonly host: string;
  readonly name: string;
  readonly port: number;
  readonly random: Random;
  readonly words: SoakWire;
  readonly zone: string;
}

/** Requests that an engine works on at a time. */
export const ENGINE_SLOTS = 4;
/** Pause between two events, in milliseconds. */
const GAP_MS = 15;
/** Time between two reports, in milliseconds. */
const REPORT_MS = 600;
/** Longest wait for an acknowledgement, in milliseconds. */
const ACKNOWLEDGE_MS = 1_000;
/** Time for which an engine that leaves serves on, in milliseconds. */
const SERVE_ON_MS = 2_500;
/** Most tries to have a word acknowledged. */
const MOST_TRIES = 12;
/** Time from the begin of a request that ends the engine to that end, in milliseconds. */
const FATAL_MS = 30;
/** Time for which such a request leaves it down, in milliseconds. */
const FATAL_DOWN_MS = 1_500;
/** Part of the answers that break off while the engine is told to break some. */
const BREAKS_PART = 0.4;

/** See the module's comment. */
export class SoakEngine {
  /** Whether it breaks answers off. */
  breaks = false;
  /** Whether it takes everything and says nothing. */
  silent = false;
  /** One end and start after the other. */
  private readonly ends = new PQueue({concurrency: 1});
  private isLeaving = false;
  private name: string;
  private readonly running = new Map<string, ServerResponse>();
  private sequence = 0;
  private server: Server | undefined;
  private startedAt = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options what it is made of
   */
  constructor(private readonly options: SoakEngineOptions) {
    this.name = options.name;
  }

  /** Starts it, and has it registered. */
  async start(): Promise<void> {
    const {host, port} = this.options;
    this.startedAt = Math.max(Date.now(), this.startedAt + 1);
    this.sequence = 0;
    this.isLeaving = false;
    const server = createServer((req, res) => void this.answer(req, res));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.server = server;
    this.timer = setInterval(() => void this.report(), REPORT_MS);
    void this.report();
  }

  /** Ends it at once, with all its connections. */
  async crash(): Promise<void> {
    clearInterval(this.timer);
    const {server} = this;
    this.server = undefined;
    this.running.clear();
    if (server !== undefined) {
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeAllConnections();
      await closed;
    }
  }

  /**
   * Ends it at once, and starts it again.
   *
   * @param downMs time for which it is gone, in milliseconds
   * @param sameName whether it keeps its name
   */
  crashFor(downMs: number, sameName: boolean): Promise<void> {
    return this.ends.add(async () => {
      await this.crash();
      await delay(downMs);
      await this.startAgain(sameName);
    });
  }

  /**
   * Says that it leaves, serves on, says that it is gone, ends, and starts again.
   *
   * @param sameName whether it keeps its name
   */
  leaveAndReturn(sameName: boolean): Promise<void> {
    return this.ends.add(async () => {
      await this.leave();
      await this.startAgain(sameName);
    });
  }

  private async startAgain(sameName: boolean): Promise<void> {
    if (!sameName) {
      this.name = generateId(this.options.name);
    }
    await this.start();
  }

  private async leave(): Promise<void> {
    this.isLeaving = true;
    const {history, words} = this.options;
    const engine = this.incarnation;
    if (await this.tell(() => words.report(this.word()))) {
      history.note({engine, kind: 'leaveAccepted'});
    }
    await delay(SERVE_ON_MS);
    clearInterval(this.timer);
    await this.tell(() => words.farewell(this.word()));
    await this.crash();
  }

  /** Names one start of it. */
  private get incarnation(): string {
    return `${this.name}@${this.startedAt}`;
  }

  private word(): EngineReport {
    const {host, port, zone} = this.options;
    return {
      address: `${host}:${port}`,
      isLeaving: this.isLeaving,
      name: this.name,
      sequence: ++this.sequence,
      slots: ENGINE_SLOTS,
      startedAt: this.startedAt,
      zone,
    };
  }

  private async report(): Promise<void> {
    if (!this.silent) {
      await this.tellOnce(this.options.words.report(this.word()));
    }
  }

  private async tell(call: () => ReturnType<SoakWire['report']>): Promise<boolean> {
    for (let tries = 0; tries < MOST_TRIES && this.server !== undefined; tries++) {
      if (await this.tellOnce(call())) {
        return true;
      }
      await delay(GAP_MS);
    }
    return false;
  }

  private async tellOnce(call: ReturnType<SoakWire['report']>): Promise<boolean> {
    const {controls, random} = this.options;
    const address = controls[Math.floor(random() * controls.length)]!;
    const reply = await makeCall(call, {address, agent: false, mostMs: ACKNOWLEDGE_MS});
    return reply.kind === 'answer' && reply.status === 200;
  }

  private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {history, words} = this.options;
    res.on('error', () => {});
    if (req.url === words.occupancyPath) {
      if (!this.silent) {
        res.end(words.occupancy([...this.running.keys()]));
      }
      return;
    }
    const path = req.url ?? '';
    const read = words.readEngineRequest(req.headers);
    req.resume();
    if (read === null) {
      res.writeHead(400).end();
      return;
    }
    const {id, resumeAfter} = read;
    if (read.engine !== null && read.engine !== this.name) {
      res.writeHead(421, words.declineHeaders(id)).end();
      return;
    }
    if (this.running.size >= ENGINE_SLOTS) {
      res.writeHead(503, words.declineHeaders(id)).end();
      return;
    }
    history.note({engine: this.incarnation, id, kind: 'ran', resumeAfter});
    this.running.set(id, res);
    res.on('close', () => this.running.get(id) === res && this.running.delete(id));
    if (id.includes(IMPOSSIBLE)) {
      res.writeHead(422, words.engineHeaders(id)).end();
      return;
    }
    const fatal = fatalOf(id);
    if (fatal !== null) {
      await delay(FATAL_MS);
      history.note({engine: this.incarnation, kind: 'engineEnded', request: fatal});
      await this.crashFor(FATAL_DOWN_MS, this.options.random() < 0.5);
      return;
    }
    await (words.runsOnce(path) ? this.runOnce(id, res) : this.stream(id, resumeAfter, res));
  }

  private async runOnce(id: string, res: ServerResponse): Promise<void> {
    await this.pause(res);
    res.writeHead(200, this.options.words.engineHeaders(id)).end(onceText(id));
    this.options.history.note({id, kind: 'finished'});
  }

  private async stream(id: string, resumeAfter: number, res: ServerResponse): Promise<void> {
    const {history, random, words} = this.options;
    const breaksAt =
      this.breaks && random() < BREAKS_PART
        ? resumeAfter + 1 + Math.floor(random() * (OUTPUT_EVENTS - resumeAfter))
        : Infinity;
    res.writeHead(200, {...words.engineHeaders(id), 'content-type': 'text/event-stream'});
    for (let number = resumeAfter + 1; number <= OUTPUT_EVENTS; number++) {
      await this.pause(res);
      if (res.destroyed) {
        return;
      }
      const text = eventText(id, number);
      if (number >= breaksAt) {
        res.write(text.slice(0, Math.floor(random() * text.length)));
        await delay(GAP_MS);
        res.destroy();
        return;
      }
      res.write(text);
    }
    res.end();
    history.note({id, kind: 'finished'});
  }

  /** The time of an event, and all the time for which the engine is silent. */
  private async pause(res: ServerResponse): Promise<void> {
    await delay(GAP_MS);
    while (this.silent && !res.destroyed) {
      await delay(GAP_MS);
    }
  }
}
