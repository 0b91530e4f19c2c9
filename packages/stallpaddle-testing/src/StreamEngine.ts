/** A fake engine for tests of the relay and the dispatcher. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createServer} from 'node:http';

import {PLAIN, plainRelay} from './PlainWire';

/** How an engine handles a request. */
export type EngineBehavior =
  /** Closes the connection within the event that follows `after` complete events. */
  | {readonly after: number; readonly kind: 'breakOff'}
  /** Ends the body normally after `after` complete events. */
  | {readonly after: number; readonly kind: 'endFramed'}
  /** Ends the body normally, but within an event. */
  | {readonly after: number; readonly kind: 'endWithin'}
  | {readonly kind: 'decline'}
  | {readonly kind: 'fail'; readonly status: number}
  /** Sends `after` complete events, and the next one in part if `isWithin`, in a body that ends with its connection. */
  | {readonly after: number; readonly isWithin: boolean; readonly kind: 'endUnframed'}
  /** Accepts the request and never responds. */
  | {readonly kind: 'mute'}
  /** Responds as another engine that has taken over the address. */
  | {readonly kind: 'otherEngine'}
  /** Stalls after `after` complete events and keeps the connection open. */
  | {readonly after: number; readonly kind: 'pause'}
  /** Sends `after` complete events in a body without length or chunks, then resets the connection. */
  | {readonly after: number; readonly kind: 'resetUnframed'}
  /** Accepts the request and resets the connection. */
  | {readonly kind: 'reset'}
  /** Omits the second event that it sends. */
  | {readonly kind: 'skipEvent'}
  | {readonly kind: 'serve'}
  /** Responds with the id of another request. */
  | {readonly kind: 'wrongRequest'};

/** A request that the engine received. */
export interface SeenRequest {
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether the connection was closed before the response was complete. */
  aborted: boolean;
  /** Whether the request is still in progress. */
  open: boolean;
  readonly url: string;
}

const EVENT_STREAM = 'text/event-stream';

const CRASH_AFTER_MS = 30;

const SERVE: EngineBehavior = {kind: 'serve'};

function eventText(number: number): string {
  return `id: ${number}\ndata: piece ${number}\n\n`;
}

/** Streams numbered events, resumes after a given one, and fails on request in the ways that real engines do. */
export class StreamEngine {
  /** Behaviors for the next requests, in order; further requests are served. */
  behaviors: EngineBehavior[] = [];
  /** Received control requests on runs: method and request id. */
  readonly controlRequests: string[] = [];
  readonly seen: SeenRequest[] = [];
  /** Time from the start of a fatal request to the crash of the engine, in milliseconds. */
  crashAfterMs = CRASH_AFTER_MS;
  /** Number of events that a fatal request streams before the engine crashes. */
  eventsBeforeCrash = 0;
  /** Bodies of the requests that crash the engine. */
  readonly fatal = new Set<string>();
  /** Shared parts of prompts that crash the engine, whatever else the request holds. */
  readonly fatalParts = new Set<string>();
  /** Called after a fatal request has crashed the engine. */
  onCrashed: (body: string) => void = () => {};
  /** Called when a request has arrived. */
  onRequest: () => void = () => {};
  /** Time from an occupancy query to its response, in milliseconds. */
  occupancyDelayMs = 0;
  /** Number of occupancy queries. */
  occupancyQueries = 0;
  /** Whether the engine lists the requests that it runs in its occupancy. */
  listsRuns = true;
  /** Whether the engine responds to occupancy queries. */
  reportsOccupancy = true;
  /** Start time that the engine tells when it is asked; null for none. */
  startedAtMs: null | number = null;

  private readonly running = new Map<string, ServerResponse>();

  private constructor(
    private readonly server: Server,
    /** IP address and port; stays valid after the engine has exited. */
    readonly address: string,
    private readonly events: number,
    private readonly gapMs: number,
  ) {}

  /**
   * Starts an engine on a free port.
   *
   * @param events number of events in a complete response
   * @param gapMs pause between two events, in milliseconds
   */
  static async start(events = 5, gapMs = 2): Promise<StreamEngine> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const engine = new StreamEngine(server, address, events, gapMs);
    server.on('request', (req, res) => void engine.handle(req, res));
    return engine;
  }

  /** Body of a complete response. */
  get wholeText(): string {
    return Array.from({length: this.events}, (_, at) => eventText(at + 1)).join('');
  }

  /** Stops the engine and closes all its connections. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    // The callback gets an error if the server is closed already, which is fine.
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === PLAIN.occupancy) {
      await this.tellOccupancy(res);
      return;
    }
    if (req.url?.startsWith(`${PLAIN.stop}/`)) {
      const id = req.url.slice(PLAIN.stop.length + 1);
      this.controlRequests.push(`${req.method} ${id}`);
      this.running.get(id)?.destroy();
      res.end(id);
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
      chunks.push(chunk as Buffer);
    }
    const body = Buffer.concat(chunks).toString();
    const seen: SeenRequest = {
      aborted: false,
      body,
      headers: req.headers,
      open: true,
      url: req.url ?? '',
    };
    this.seen.push(seen);
    this.onRequest();
    const id = String(req.headers[PLAIN.request]);
    this.running.set(id, res);
    res.on('close', () => {
      this.running.delete(id);
      seen.aborted = !res.writableFinished;
      seen.open = false;
    });
    if (this.isFatal(body, req)) {
      await this.crashBy(body, req, res);
      return;
    }
    await this.respond(this.behaviors.shift() ?? SERVE, req, res);
  }

  private async tellOccupancy(res: ServerResponse): Promise<void> {
    this.occupancyQueries++;
    const start = this.startedAtMs === null ? [] : [`${PLAIN.start}${this.startedAtMs}`];
    const text = [...start, ...(this.listsRuns ? this.running.keys() : [])].join(' ');
    await new Promise((resolve) => setTimeout(resolve, this.occupancyDelayMs));
    if (this.reportsOccupancy) {
      res.end(text);
    }
  }

  private isFatal(body: string, {headers}: IncomingMessage): boolean {
    const parts = plainRelay.readSharedParts(headers);
    return this.fatal.has(body) || parts.some((part) => this.fatalParts.has(part));
  }

  /** Starts a request and then crashes: closes all connections and refuses new ones. */
  private async crashBy(body: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.eventsBeforeCrash > 0) {
      await this.respond({after: this.eventsBeforeCrash, kind: 'pause'}, req, res);
    }
    await new Promise((resolve) => setTimeout(resolve, this.crashAfterMs));
    this.server.close();
    this.server.closeAllConnections();
    this.onCrashed(body);
  }

  private async respond(
    behavior: EngineBehavior,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const id = String(req.headers[PLAIN.request]);
    const signed = {[PLAIN.request]: id, [PLAIN.signature]: `signed-${id}`};
    switch (behavior.kind) {
      case 'decline':
        res.writeHead(503, {[PLAIN.declined]: '1', [PLAIN.request]: id}).end();
        return;
      case 'fail':
        res.writeHead(behavior.status, signed).end('it failed');
        return;
      case 'mute':
        return;
      case 'reset':
        req.socket.resetAndDestroy();
        return;
      case 'otherEngine':
        res.writeHead(421).end();
        return;
      case 'endUnframed':
      case 'resetUnframed':
        this.writeUnframed(behavior.after, signed, req, res);
        if (behavior.kind === 'endUnframed') {
          res.end(behavior.isWithin ? eventText(behavior.after + 1).slice(0, 8) : '');
          return;
        }
        await new Promise((resolve) => setTimeout(resolve, this.gapMs));
        req.socket.resetAndDestroy();
        return;
      case 'breakOff':
      case 'endFramed':
      case 'endWithin':
      case 'pause':
      case 'serve':
      case 'skipEvent':
        res.writeHead(200, {...signed, 'content-type': EVENT_STREAM});
        await this.stream(behavior, Number(req.headers[PLAIN.resumeAfter] ?? 0), res);
        return;
      case 'wrongRequest':
        res.writeHead(200, {...signed, [PLAIN.request]: 'another'}).end('not yours');
        return;
    }
  }

  /** Writes the head and the first events of a response that has neither a length nor chunks. */
  private writeUnframed(
    events: number,
    signed: Readonly<Record<string, string>>,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const first = Number(req.headers[PLAIN.resumeAfter] ?? 0) + 1;
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    res.writeHead(200, {...signed, 'content-type': req.headers[PLAIN.wanted] ?? EVENT_STREAM});
    res.flushHeaders();
    if (events > 0) {
      res.write(Array.from({length: events}, (_, at) => eventText(first + at)).join(''));
    }
  }

  private async stream(
    behavior: EngineBehavior,
    resumeAfter: number,
    res: ServerResponse,
  ): Promise<void> {
    for (let number = resumeAfter + 1; number <= this.events && !res.destroyed; number++) {
      const isAfterLast = 'after' in behavior && number > resumeAfter + behavior.after;
      if (isAfterLast && behavior.kind === 'pause') {
        return;
      }
      if (isAfterLast && behavior.kind === 'endFramed') {
        break;
      }
      if (isAfterLast) {
        res.write(eventText(number).slice(0, 8));
        await new Promise((resolve) => setTimeout(resolve, this.gapMs));
        if (behavior.kind === 'breakOff') {
          res.destroy();
        } else {
          res.end();
        }
        return;
      }
      if (behavior.kind !== 'skipEvent' || number !== resumeAfter + 2) {
        res.write(eventText(number));
      }
      await new Promise((resolve) => setTimeout(resolve, this.gapMs));
    }
    res.end();
  }
}
