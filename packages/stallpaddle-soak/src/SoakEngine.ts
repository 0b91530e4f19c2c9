/** Fake engine of a soak. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {createServer} from 'node:http';
import PQueue from 'p-queue';
import {delay, generateId, type Random} from 'stallpaddle';

import type {SoakService} from './SoakConfigurations';
import type {SoakHistory} from './SoakHistory';
import type {EngineReport, SoakWire} from './SoakWire';

import {makeCall} from './SoakHttp';
import {
  eventText,
  fatalOf,
  IMPOSSIBLE,
  isProbe,
  onceText,
  OUTPUT_EVENTS,
  SOFTWARE_VERSIONS,
  type SoftwareVersion,
} from './SoakOutput';

/** Options of an engine. */
export interface SoakEngineOptions {
  /** Addresses to which the engine reports. */
  readonly controls: readonly string[];
  readonly history: SoakHistory;
  readonly host: string;
  readonly name: string;
  readonly port: number;
  readonly random: Random;
  readonly service: SoakService;
  /** Software version at the first start. */
  readonly softwareVersion: SoftwareVersion;
  readonly wire: SoakWire;
  readonly zone: string;
}

/** Number of requests that an engine runs at a time. */
export const ENGINE_SLOTS = 4;
/** Pause between two events or attempts, in milliseconds. */
const GAP_MS = 15;
/** Time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 600;
/** Timeout of a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;
/** Time for which a draining engine keeps serving, in milliseconds. */
const DRAIN_MS = 2_500;
/** Maximum number of attempts until a report is acknowledged. */
const MAX_REPORT_ATTEMPTS = 12;
/** Time from the start of a fatal request to the crash of the engine, in milliseconds. */
const FATAL_MS = 30;
/** Time for which a fatal request takes the engine down, in milliseconds. */
const FATAL_DOWN_MS = 1_500;
/** Fraction of the responses that are aborted while `breaks` is set. */
const BREAKS_FRACTION = 0.4;

/** Registers with the fleet, streams numbered events and fails on request; a restart keeps no state. */
export class SoakEngine {
  /** Whether the engine aborts some of its responses. */
  breaks = false;
  /** Whether the engine accepts requests without responding or reporting. */
  silent = false;
  /** Runs restarts one at a time. */
  private readonly restarts = new PQueue({concurrency: 1});
  private isLeaving = false;
  private name: string;
  private readonly running = new Map<string, ServerResponse>();
  private sequence = 0;
  private server: Server | undefined;
  private softwareVersion: SoftwareVersion;
  private startedAt = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options options of the engine
   */
  constructor(private readonly options: SoakEngineOptions) {
    this.name = options.name;
    this.softwareVersion = options.softwareVersion;
  }

  /** Starts the engine and its reports. */
  async start(): Promise<void> {
    const {host, port} = this.options;
    this.startedAt = Math.max(Date.now(), this.startedAt + 1);
    this.sequence = 0;
    this.isLeaving = false;
    const server = createServer((req, res) => void this.handle(req, res));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.server = server;
    this.timer = setInterval(() => void this.report(), REPORT_INTERVAL_MS);
    void this.report();
  }

  /** Stops the engine at once and closes all its connections. */
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
   * Crashes the engine and restarts it.
   *
   * @param downMs time until the restart, in milliseconds
   * @param sameName whether it keeps its name
   */
  crashFor(downMs: number, sameName: boolean): Promise<void> {
    return this.restarts.add(async () => {
      await this.crash();
      await delay(downMs);
      await this.restart(sameName);
    });
  }

  /**
   * Drains the engine, deregisters it and restarts it with the other software version.
   *
   * @param sameName whether it keeps its name
   */
  drainAndRestart(sameName: boolean): Promise<void> {
    return this.restarts.add(async () => {
      await this.drain();
      const {softwareVersion} = this;
      this.softwareVersion = SOFTWARE_VERSIONS.find((other) => other !== softwareVersion)!;
      await this.restart(sameName);
    });
  }

  private async restart(sameName: boolean): Promise<void> {
    if (!sameName) {
      this.name = generateId(this.options.name);
    }
    await this.start();
  }

  private async drain(): Promise<void> {
    this.isLeaving = true;
    const {history, wire} = this.options;
    const engine = this.incarnation;
    if (await this.sendUntilAcknowledged(() => wire.report(this.nextReport()))) {
      history.note({engine, kind: 'leaveAccepted'});
    }
    await delay(DRAIN_MS);
    clearInterval(this.timer);
    await this.sendUntilAcknowledged(() => wire.farewell(this.nextReport()));
    await this.crash();
  }

  /** Identifies one incarnation of the engine. */
  private get incarnation(): string {
    return `${this.name}@${this.startedAt}`;
  }

  private nextReport(): EngineReport {
    const {host, port, service, zone} = this.options;
    return {
      address: `${host}:${port}`,
      isLeaving: this.isLeaving,
      name: this.name,
      sequence: ++this.sequence,
      service,
      slots: ENGINE_SLOTS,
      softwareVersion: this.softwareVersion,
      startedAt: this.startedAt,
      zone,
    };
  }

  private async report(): Promise<void> {
    if (!this.silent) {
      await this.sendOnce(this.options.wire.report(this.nextReport()));
    }
  }

  private async sendUntilAcknowledged(
    call: () => ReturnType<SoakWire['report']>,
  ): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_REPORT_ATTEMPTS && this.server !== undefined; attempt++) {
      if (await this.sendOnce(call())) {
        return true;
      }
      await delay(GAP_MS);
    }
    return false;
  }

  private async sendOnce(call: ReturnType<SoakWire['report']>): Promise<boolean> {
    const {controls, random} = this.options;
    const address = controls[Math.floor(random() * controls.length)]!;
    const reply = await makeCall(call, {address, agent: false, timeoutMs: REPORT_TIMEOUT_MS});
    return reply.kind === 'answer' && reply.status === 200;
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {history, wire} = this.options;
    res.on('error', () => {});
    if (req.url === wire.occupancyPath) {
      if (!this.silent) {
        res.end(wire.occupancy([...this.running.keys()], this.startedAt));
      }
      return;
    }
    const path = req.url ?? '';
    const read = wire.readEngineRequest(req.headers);
    req.resume();
    if (read === null) {
      res.writeHead(400).end();
      return;
    }
    const {id, resumeAfter} = read;
    if (read.engine !== null && read.engine !== this.name) {
      res.writeHead(421, wire.declineHeaders(id)).end();
      return;
    }
    if (this.running.size >= ENGINE_SLOTS) {
      res.writeHead(503, wire.declineHeaders(id)).end();
      return;
    }
    if (!isProbe(id)) {
      history.note({engine: this.incarnation, id, kind: 'ran', resumeAfter});
    }
    this.running.set(id, res);
    res.on('close', () => this.running.get(id) === res && this.running.delete(id));
    if (id.includes(IMPOSSIBLE)) {
      res.writeHead(422, wire.engineHeaders(id)).end();
      return;
    }
    const fatal = fatalOf(id);
    if (fatal !== null) {
      await delay(FATAL_MS);
      history.note({engine: this.incarnation, kind: 'engineEnded', request: fatal});
      await this.crashFor(FATAL_DOWN_MS, this.options.random() < 0.5);
      return;
    }
    await (wire.runsOnce(path) ? this.runOnce(id, res) : this.stream(id, resumeAfter, res));
  }

  private async runOnce(id: string, res: ServerResponse): Promise<void> {
    await this.pause(res);
    const text = isProbe(id) ? this.options.service : onceText(id);
    res.writeHead(200, this.options.wire.engineHeaders(id)).end(text);
    if (!isProbe(id)) {
      this.options.history.note({id, kind: 'finished'});
    }
  }

  private async stream(id: string, resumeAfter: number, res: ServerResponse): Promise<void> {
    const {history, random, wire} = this.options;
    const {softwareVersion} = this;
    const breaksAt =
      this.breaks && random() < BREAKS_FRACTION
        ? resumeAfter + 1 + Math.floor(random() * (OUTPUT_EVENTS - resumeAfter))
        : Infinity;
    res.writeHead(200, {...wire.engineHeaders(id), 'content-type': 'text/event-stream'});
    for (let number = resumeAfter + 1; number <= OUTPUT_EVENTS; number++) {
      await this.pause(res);
      if (res.destroyed) {
        return;
      }
      const text = eventText(id, number, softwareVersion);
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

  /** Waits for the gap between two events, and as long as the engine is silent. */
  private async pause(res: ServerResponse): Promise<void> {
    await delay(GAP_MS);
    while (this.silent && !res.destroyed) {
      await delay(GAP_MS);
    }
  }
}
