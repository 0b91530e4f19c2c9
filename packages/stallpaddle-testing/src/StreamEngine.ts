/**
 * A stand-in engine for opaque requests: streams numbered events, goes on where it is asked to, and fails
 * in the ways that engines do.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createServer} from 'node:http';

import {PLAIN} from './PlainWire';

/** How an engine treats the next request. */
export type EngineBehavior =
  /** Breaks off in the middle of an event after some whole ones. */
  | {readonly after: number; readonly kind: 'breakOff'}
  /** Ends the body as if it were whole, within an event. */
  | {readonly after: number; readonly kind: 'endWithin'}
  | {readonly kind: 'decline'}
  | {readonly kind: 'fail'; readonly status: number}
  /** Takes the request and never says a word. */
  | {readonly kind: 'mute'}
  /** Another engine has the address. */
  | {readonly kind: 'otherEngine'}
  /** Falls silent after some whole events, and keeps the connection. */
  | {readonly after: number; readonly kind: 'pause'}
  /** Sends some whole events of an answer without a length, and resets the connection. */
  | {readonly after: number; readonly kind: 'resetUnframed'}
  /** Takes the request and resets the connection. */
  | {readonly kind: 'reset'}
  /** Leaves numbers out. */
  | {readonly kind: 'skipEvent'}
  | {readonly kind: 'serve'}
  /** Answers with the name of another request. */
  | {readonly kind: 'wrongRequest'};

/** A request as the engine saw it. */
export interface SeenRequest {
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether its connection was closed before the last event. */
  aborted: boolean;
  /** Whether it is still under way. */
  open: boolean;
  readonly url: string;
}

const EVENT_STREAM = 'text/event-stream';

/** Time from the begin of a request that ends its engine to that end, in milliseconds; 34 to 95 were seen. */
const END_AFTER_MS = 30;

const SERVE: EngineBehavior = {kind: 'serve'};

function eventText(number: number): string {
  return `id: ${number}\ndata: piece ${number}\n\n`;
}

/** See the module's comment. */
export class StreamEngine {
  /** Treats the next requests, in order; then all are served. */
  behaviors: EngineBehavior[] = [];
  /** Orders on runs, method and name. */
  readonly controlRequests: string[] = [];
  readonly seen: SeenRequest[] = [];
  /** Events of an answer that are sent before a request that ends the engine does so. */
  eventsBeforeCrash = 0;
  /** Bodies of requests that end the engine which begins to run them. */
  readonly fatal = new Set<string>();
  /** Called once such a request has ended the engine. */
  onCrashed: (body: string) => void = () => {};
  /** Whether it answers the question how many requests it holds. */
  reportsOccupancy = true;

  private readonly running = new Map<string, ServerResponse>();

  private constructor(
    private readonly server: Server,
    /** IP number and port, also once the engine has ended. */
    readonly address: string,
    private readonly events: number,
    private readonly gapMs: number,
  ) {}

  /**
   * Starts an engine on a free port.
   *
   * @param events events of each whole answer
   * @param gapMs pause between two events, in milliseconds
   */
  static async start(events = 5, gapMs = 2): Promise<StreamEngine> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const engine = new StreamEngine(server, address, events, gapMs);
    server.on('request', (req, res) => void engine.answer(req, res));
    return engine;
  }

  /** Text of a whole answer. */
  get wholeText(): string {
    return Array.from({length: this.events}, (_, at) => eventText(at + 1)).join('');
  }

  /** Ends the engine with all its connections. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    // An engine that has ended already answers with an error, which is as good.
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
  }

  private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === PLAIN.occupancy) {
      if (this.reportsOccupancy) {
        res.end([...this.running.keys()].join(' '));
      }
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
    const id = String(req.headers[PLAIN.request]);
    this.running.set(id, res);
    res.on('close', () => {
      this.running.delete(id);
      seen.aborted = !res.writableFinished;
      seen.open = false;
    });
    if (this.fatal.has(body)) {
      await this.endBy(body, req, res);
      return;
    }
    await this.treat(this.behaviors.shift() ?? SERVE, req, res);
  }

  /** Begins to run a request, and ends as a process that crashes: all connections are reset, none comes up any more. */
  private async endBy(body: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.eventsBeforeCrash > 0) {
      await this.treat({after: this.eventsBeforeCrash, kind: 'pause'}, req, res);
    }
    await new Promise((resolve) => setTimeout(resolve, END_AFTER_MS));
    this.server.close();
    this.server.closeAllConnections();
    this.onCrashed(body);
  }

  private async treat(
    manner: EngineBehavior,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const id = String(req.headers[PLAIN.request]);
    const signed = {[PLAIN.request]: id, [PLAIN.signature]: `signed-${id}`};
    switch (manner.kind) {
      case 'decline':
        res.writeHead(503, {[PLAIN.declined]: '1', [PLAIN.request]: id}).end();
        return;
      case 'fail':
        res.writeHead(manner.status, signed).end('it failed');
        return;
      case 'mute':
        return;
      case 'reset':
        req.socket.resetAndDestroy();
        return;
      case 'otherEngine':
        res.writeHead(421).end();
        return;
      case 'resetUnframed':
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        res.writeHead(200, {...signed, 'content-type': req.headers[PLAIN.wanted] ?? EVENT_STREAM});
        res.write(Array.from({length: manner.after}, (_, at) => eventText(at + 1)).join(''));
        await new Promise((resolve) => setTimeout(resolve, this.gapMs));
        req.socket.resetAndDestroy();
        return;
      case 'breakOff':
      case 'endWithin':
      case 'pause':
      case 'serve':
      case 'skipEvent':
        res.writeHead(200, {...signed, 'content-type': EVENT_STREAM});
        await this.stream(manner, Number(req.headers[PLAIN.resumeAfter] ?? 0), res);
        return;
      case 'wrongRequest':
        res.writeHead(200, {...signed, [PLAIN.request]: 'another'}).end('not yours');
        return;
    }
  }

  private async stream(
    manner: EngineBehavior,
    resumeAfter: number,
    res: ServerResponse,
  ): Promise<void> {
    for (let number = resumeAfter + 1; number <= this.events && !res.destroyed; number++) {
      const isCut = 'after' in manner && number > resumeAfter + manner.after;
      if (isCut && manner.kind === 'pause') {
        return;
      }
      if (isCut) {
        res.write(eventText(number).slice(0, 8));
        await new Promise((resolve) => setTimeout(resolve, this.gapMs));
        if (manner.kind === 'breakOff') {
          res.destroy();
        } else {
          res.end();
        }
        return;
      }
      if (manner.kind !== 'skipEvent' || number !== resumeAfter + 2) {
        res.write(eventText(number));
      }
      await new Promise((resolve) => setTimeout(resolve, this.gapMs));
    }
    res.end();
  }
}
