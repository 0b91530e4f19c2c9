/**
 * One request to one engine, on a connection of its own: an answer that comes late can't meet another
 * request, and no idle connection can be closed just as a request is sent.
 *
 * The connection is read here and not by the library's client: only so a stream can rest between beats, and the library's
 * objects for each request and answer cost a process with few requests a second more than the request itself.
 */
import {validateHeaderName, validateHeaderValue} from 'node:http';
import {connect, type Socket} from 'node:net';
import {errorMessage, wasReset} from 'stallpaddle';

import type {BeatReader, RelayBeat} from './RelayBeat';
import type {RelayPace} from './RelayPace';
import type {AnswerFacts, RelayWire} from './RelayWire';

import {EngineAnswer} from './RelayAnswer';
import {type AnswerHead, AnswerParser} from './RelayAnswerParser';

/** A request as it is sent. */
export interface EngineRequest {
  /** IP number and port. */
  readonly address: string;
  readonly body: Uint8Array;
  /** Flat list of names and values, without a length. */
  readonly headers: readonly string[];
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
}

/** Why a request was not run, for certain. */
export type NotRunReason =
  /** No connection came up. */
  | 'noConnection'
  /** The engine says so itself: it is full or leaves. */
  | 'declined'
  /** Another engine has the address. */
  | 'otherEngine';

/** How an attempt began. */
export type EngineCallStart =
  | {readonly facts: AnswerFacts; readonly kind: 'answer'; readonly res: EngineAnswer}
  | {readonly kind: 'mayHaveRun'; readonly reason: string}
  | {readonly kind: 'notRun'; readonly reason: NotRunReason};

/** An attempt under way. */
export interface EngineCall {
  /** Closes the connection at once; the engine then drops the request. */
  readonly close: () => void;
  /** Closes the connection once what has arrived was read. */
  readonly closeAfterRead: () => void;
  readonly started: Promise<EngineCallStart>;
}

/** Bytes that are read at once: all connections share them, since each read is taken out at once. */
const READ_BUFFER = Buffer.allocUnsafeSlow(65_536);
/** Header lines by which the connection serves one request only. */
const LAST_LINES = 'Connection: close\r\n\r\n';
/** What a path may not hold; with it more than one request could be sent. */
const BAD_PATH = /[^\u0021-\u00ff]/;
/** Content type of an answer that is read on the beat. */
const EVENT_STREAM = 'text/event-stream';

/**
 * Host and port of an address.
 *
 * @param address IP number and port
 */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
  const colon = address.lastIndexOf(':');
  return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/** A request as bytes, so that head and body go out in one write. */
function encodeRequest({body, headers, method, path}: EngineRequest): Buffer {
  if (BAD_PATH.test(path)) {
    throw new TypeError('The path holds what no path may.');
  }
  let head = `${method} ${path} HTTP/1.1\r\n`;
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!;
    const value = headers[at + 1]!;
    validateHeaderName(name);
    validateHeaderValue(name, value);
    head += `${name}: ${value}\r\n`;
  }
  head += `Content-Length: ${body.length}\r\n${LAST_LINES}`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}

function startOf(wire: RelayWire, res: EngineAnswer, requestId: string): EngineCallStart {
  const facts = wire.readAnswer(res.status, res.headers);
  if (facts.otherEngine) {
    return {kind: 'notRun', reason: 'otherEngine'};
  }
  if (facts.notRun) {
    return {kind: 'notRun', reason: 'declined'};
  }
  if (facts.requestId !== requestId) {
    return {kind: 'mayHaveRun', reason: 'the answer belongs to another request'};
  }
  if (!facts.signed || res.headers['content-encoding'] !== undefined) {
    return {kind: 'mayHaveRun', reason: 'the answer is not the engine’s own'};
  }
  return {facts, kind: 'answer', res};
}

/** What an attempt is made of. */
interface ConnectionOptions {
  readonly beat: RelayBeat | undefined;
  readonly onStart: (start: EngineCallStart) => void;
  readonly pace: RelayPace;
  readonly req: EngineRequest;
  readonly wire: RelayWire;
}

/** One connection with its request and answer. */
class EngineConnection implements BeatReader {
  private answer: EngineAnswer | undefined;
  private connected = false;
  private isOnBeat = false;
  private readonly openedAt = performance.now();
  private readonly parser: AnswerParser;
  private readonly socket: Socket;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ConnectionOptions) {
    const {pace, req} = options;
    this.parser = new AnswerParser(req.method === 'HEAD');
    const request = encodeRequest(req);
    const onread = {
      buffer: READ_BUFFER,
      callback: (size: number) => this.onRead(Buffer.from(READ_BUFFER.subarray(0, size))),
    };
    this.socket = connect({...splitAddress(req.address), noDelay: true, onread});
    this.timer = setTimeout(() => this.close(), pace.connect.limitMs);
    this.socket.once('connect', () => this.onConnect());
    this.socket.once('end', () => this.onEnd());
    this.socket.once('error', (err) => this.fail(errorMessage(err)));
    this.socket.once('close', () => this.fail('the connection was closed'));
    this.socket.write(request);
  }

  close(): void {
    this.socket.destroy();
    this.fail('the connection was closed');
  }

  closeAfterRead(): void {
    this.socket.resume();
    // Sockets are read before immediates of the next round.
    setImmediate(() => setImmediate(() => this.close()));
  }

  read(): void {
    if (this.answer?.isHeld === false) {
      this.socket.resume();
    }
  }

  rest(): void {
    this.socket.pause();
  }

  private onConnect(): void {
    this.connected = true;
    clearTimeout(this.timer);
    this.options.pace.connect.note(performance.now() - this.openedAt);
  }

  /** Takes in bytes; false to read no more until the next beat, or until they were taken. */
  private onRead(bytes: Buffer): boolean {
    try {
      const body = this.parser.push(bytes);
      const {head} = this.parser;
      if (this.answer === undefined && head !== undefined) {
        this.onHead(head);
      }
      this.answer?.add(body);
    } catch (err) {
      this.fail(errorMessage(err));
      this.socket.destroy();
      return false;
    }
    if (this.parser.isWhole) {
      this.settle();
    }
    return !this.isOnBeat && this.answer?.isHeld !== true;
  }

  private onHead(head: AnswerHead): void {
    const {beat, onStart, req, wire} = this.options;
    const answer = new EngineAnswer(head, {
      isWhole: () => this.parser.isWhole,
      onTaken: () => {
        if (!this.isOnBeat) {
          this.socket.resume();
        }
      },
    });
    this.answer = answer;
    const start = startOf(wire, answer, req.requestId);
    onStart(start);
    if (start.kind !== 'answer') {
      this.close();
    } else if (beat !== undefined && head.headers['content-type']?.startsWith(EVENT_STREAM)) {
      this.isOnBeat = true;
      beat.add(this);
    }
  }

  /** The other side has ended the connection; a reset may look alike. */
  private onEnd(): void {
    if (wasReset(this.socket)) {
      this.fail('the connection was reset');
      return;
    }
    this.parser.end();
    if (this.parser.isWhole) {
      this.settle();
    } else {
      this.fail('the connection was closed');
    }
  }

  private fail(reason: string): void {
    this.settle(reason);
  }

  /** Ends the attempt; only the first word counts. */
  private settle(reason?: string): void {
    clearTimeout(this.timer);
    this.options.beat?.remove(this);
    if (reason === undefined || this.parser.isWhole) {
      this.answer?.end();
      return;
    }
    this.answer?.end(new Error(reason));
    this.options.onStart(
      this.connected ? {kind: 'mayHaveRun', reason} : {kind: 'notRun', reason: 'noConnection'},
    );
  }
}

/**
 * Sends a request.
 *
 * @param wire the engines' words
 * @param pace how fast engines are
 * @param req the request
 * @param beat when events of a stream are read after the first; as they come without one
 */
export function startEngineCall(
  wire: RelayWire,
  pace: RelayPace,
  req: EngineRequest,
  beat?: RelayBeat,
): EngineCall {
  let connection: EngineConnection | undefined;
  const started = new Promise<EngineCallStart>((resolve) => {
    connection = new EngineConnection({beat, onStart: resolve, pace, req, wire});
  });
  return {
    close: () => connection?.close(),
    closeAfterRead: () => connection?.closeAfterRead(),
    started,
  };
}
