/**
 * Reads one answer of HTTP/1.1 from the bytes of a connection that serves one request (RFC 9112). What an engine may not
 * send is an error; nothing that broke off passes for whole.
 */
import type {IncomingHttpHeaders} from 'node:http';

/** Head of an answer. */
export interface AnswerHead {
  /** Values by name in lower case; several of one name are joined by commas. */
  readonly headers: IncomingHttpHeaders;
  /** Flat list of names and values, as they came. */
  readonly rawHeaders: readonly string[];
  readonly status: number;
  readonly statusText: string;
}

/** An answer that breaks the protocol. */
export class AnswerError extends Error {
  override readonly name = 'AnswerError';
}

/** Where the parser is. */
type Stage =
  /** In a chunk or in a body of known length; so many bytes are left. */
  | {readonly kind: 'bytes'; readonly chunked: boolean; left: number}
  | {readonly kind: 'chunkEnd'}
  | {readonly kind: 'chunkSize'}
  | {readonly kind: 'head'}
  | {readonly kind: 'trailers'}
  /** The body ends with the connection. */
  | {readonly kind: 'untilEnd'}
  | {readonly kind: 'whole'};

/** Longest head, and longest line between chunks, in bytes: as Node.js takes. */
const MAX_HEAD_BYTES = 16_384;
const MAX_LINE_BYTES = 1_024;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: (.*))?$/;
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/;
/** What no header value holds: control characters but for tabs. */

const BAD_VALUE = /[\u0000-\u0008\u000a-\u001f\u007f]/;
const CHUNK_SIZE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;
const HEX = 16;
const SWITCHING = 101;
const SUCCESS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const EMPTY = Buffer.alloc(0);

function parseHead(text: string): AnswerHead {
  const [first = '', ...lines] = text.split('\r\n');
  const status = STATUS_LINE.exec(first);
  if (status === null || BAD_VALUE.test(first)) {
    throw new AnswerError('the status line can’t be read');
  }
  const headers: Record<string, string> = {};
  const rawHeaders: string[] = [];
  for (const line of lines) {
    const [, name = '', value = ''] = HEADER_LINE.exec(line) ?? [];
    if (name === '' || BAD_VALUE.test(value)) {
      throw new AnswerError('a header line can’t be read');
    }
    rawHeaders.push(name, value);
    const key = name.toLowerCase();
    headers[key] = key in headers ? `${headers[key]}, ${value}` : value;
  }
  return {headers, rawHeaders, status: Number(status[1]), statusText: status[2] ?? ''};
}

/** How the body of an answer is framed (RFC 9112, section 6.3). */
function firstStage({headers, status}: AnswerHead, isHeadOnly: boolean): Stage {
  const coding = headers['transfer-encoding'];
  const length = headers['content-length'];
  if (coding !== undefined && length !== undefined) {
    throw new AnswerError('the answer has two lengths');
  }
  if (isHeadOnly || status === NO_CONTENT || status === NOT_MODIFIED) {
    return {kind: 'whole'};
  }
  if (coding !== undefined) {
    const isChunked = /(?:^|,)[ \t]*chunked$/i.test(coding);
    return isChunked ? {kind: 'chunkSize'} : {kind: 'untilEnd'};
  }
  if (length === undefined) {
    return {kind: 'untilEnd'};
  }
  if (!/^\d{1,15}$/.test(length)) {
    throw new AnswerError('the length can’t be read');
  }
  const left = Number(length);
  return left === 0 ? {kind: 'whole'} : {chunked: false, kind: 'bytes', left};
}

/** See the module's comment. */
export class AnswerParser {
  private body: Buffer[] = [];
  private current: AnswerHead | undefined;
  private rest: Buffer = EMPTY;
  private stage: Stage = {kind: 'head'};

  /**
   * @param isHeadOnly whether the request asked for no body
   */
  constructor(private readonly isHeadOnly: boolean) {}

  /** Head of the final answer, once it has come. */
  get head(): AnswerHead | undefined {
    return this.current;
  }

  /** Whether the whole answer has come. */
  get isWhole(): boolean {
    return this.stage.kind === 'whole';
  }

  /**
   * Takes in bytes.
   *
   * @param bytes what came; kept
   * @returns bytes of the body
   * @throws {AnswerError} when the answer breaks the protocol
   */
  push(bytes: Buffer): Buffer {
    this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    while (this.step()) {
      // Goes on while there is something whole to take.
    }
    const {body} = this;
    this.body = [];
    return body.length === 1 ? body[0]! : Buffer.concat(body);
  }

  /** Notes that the connection has ended in order. */
  end(): void {
    if (this.stage.kind === 'untilEnd') {
      this.stage = {kind: 'whole'};
    }
  }

  /** Takes the next part; false when it has not come whole. */
  private step(): boolean {
    const {stage} = this;
    switch (stage.kind) {
      case 'bytes':
        return this.takeBytes(stage);
      case 'chunkEnd':
        return this.takeLine((line) => this.endChunk(line));
      case 'chunkSize':
        return this.takeLine((line) => this.beginChunk(line));
      case 'head':
        return this.takeHead();
      case 'trailers':
        return this.takeLine((line) => this.takeTrailer(line));
      case 'untilEnd':
        this.body.push(this.rest);
        this.rest = EMPTY;
        return false;
      case 'whole':
        // Whatever follows on this connection belongs to no request.
        this.rest = EMPTY;
        return false;
    }
  }

  private takeBytes(stage: Extract<Stage, {kind: 'bytes'}>): boolean {
    const {rest} = this;
    if (rest.length === 0) {
      return false;
    }
    const taken = rest.subarray(0, stage.left);
    this.body.push(taken);
    this.rest = rest.subarray(taken.length);
    stage.left -= taken.length;
    if (stage.left === 0) {
      this.stage = stage.chunked ? {kind: 'chunkEnd'} : {kind: 'whole'};
    }
    return true;
  }

  private takeHead(): boolean {
    const end = this.rest.indexOf('\r\n\r\n');
    if (end === -1 ? this.rest.length > MAX_HEAD_BYTES : end > MAX_HEAD_BYTES) {
      throw new AnswerError('the head is too long');
    }
    if (end === -1) {
      return false;
    }
    const head = parseHead(this.rest.toString('latin1', 0, end));
    this.rest = this.rest.subarray(end + 4);
    if (head.status === SWITCHING) {
      throw new AnswerError('the protocol was changed');
    }
    // An interim answer is followed by the final one.
    if (head.status >= SUCCESS) {
      this.current = head;
      this.stage = firstStage(head, this.isHeadOnly);
    }
    return true;
  }

  private takeLine(take: (line: string) => void): boolean {
    const end = this.rest.indexOf('\r\n');
    if (end === -1 ? this.rest.length > MAX_LINE_BYTES : end > MAX_LINE_BYTES) {
      throw new AnswerError('a line is too long');
    }
    if (end === -1) {
      return false;
    }
    const line = this.rest.toString('latin1', 0, end);
    this.rest = this.rest.subarray(end + 2);
    take(line);
    return true;
  }

  private beginChunk(line: string): void {
    const [, digits] = CHUNK_SIZE.exec(line) ?? [];
    if (digits === undefined) {
      throw new AnswerError('the size of a chunk can’t be read');
    }
    const left = parseInt(digits, HEX);
    this.stage = left === 0 ? {kind: 'trailers'} : {chunked: true, kind: 'bytes', left};
  }

  private endChunk(line: string): void {
    if (line !== '') {
      throw new AnswerError('a chunk is longer than its size');
    }
    this.stage = {kind: 'chunkSize'};
  }

  private takeTrailer(line: string): void {
    if (line === '') {
      this.stage = {kind: 'whole'};
    } else if (!HEADER_LINE.test(line)) {
      throw new AnswerError('a trailer can’t be read');
    }
  }
}
