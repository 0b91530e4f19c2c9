/**
 * Cuts an upload into lines, checks each and gathers them into chunks.
 */
import type {FleetConfig} from 'stallpaddle-control';
import type {UploadedChunk} from 'stallpaddle-ledger';

import {refuse} from 'stallpaddle';
import {parseItem} from 'stallpaddle-batch';
import {resolveModel} from 'stallpaddle-control';
import {CHUNK_BYTES, CHUNK_ITEMS} from 'stallpaddle-ledger';

/** Longest input line, in bytes. */
const MAX_LINE_BYTES = 1_048_576;
const NEWLINE = 0x0a;

/** Reads an upload piece by piece. */
export class GatewayLineChunker {
  private readonly chunks: UploadedChunk[] = [];
  private readonly customIds = new Set<string>();
  private gathered: string[] = [];
  private gatheredBytes = 0;
  private line = 0;
  private modelName = '';
  private rest: Buffer = Buffer.alloc(0);

  /**
   * @param config configuration that names the models
   */
  constructor(private readonly config: FleetConfig) {}

  /** Model that all items name; empty before the first. */
  get model(): string {
    return this.modelName;
  }

  /**
   * Takes the next piece.
   *
   * @param data bytes of the upload
   * @throws {RefusalError} that names the first bad line
   */
  push(data: Buffer): void {
    this.rest = this.rest.length === 0 ? data : Buffer.concat([this.rest, data]);
    let from = 0;
    for (let at = this.rest.indexOf(NEWLINE); at >= 0; at = this.rest.indexOf(NEWLINE, from)) {
      this.take(this.rest.subarray(from, at));
      from = at + 1;
    }
    this.rest = this.rest.subarray(from);
    if (this.rest.length > MAX_LINE_BYTES) {
      throw this.tooLong(this.line + 1);
    }
  }

  /** Takes what is left after the last newline. */
  end(): void {
    this.take(this.rest);
    this.rest = Buffer.alloc(0);
    this.closeChunk();
  }

  /** Bytes of the chunks that are complete and were not taken yet. */
  get readyBytes(): number {
    return this.chunks.reduce((sum, {lines}) => sum + lines.length, 0);
  }

  /** Chunks that are complete; each is returned once. */
  takeChunks(): readonly UploadedChunk[] {
    return this.chunks.splice(0);
  }

  private take(bytes: Buffer): void {
    this.line++;
    if (bytes.length > MAX_LINE_BYTES) {
      throw this.tooLong(this.line);
    }
    const text = bytes.toString().trim();
    if (text === '') {
      return;
    }
    this.check(text);
    this.gathered.push(text);
    this.gatheredBytes += bytes.length + 1;
    if (this.gathered.length >= CHUNK_ITEMS || this.gatheredBytes >= CHUNK_BYTES) {
      this.closeChunk();
    }
  }

  private check(text: string): void {
    const {line} = this;
    const item = parseItem(text, line);
    const {model} = item.body;
    if (this.modelName === '') {
      if (resolveModel(this.config, model) === undefined) {
        throw refuse('modelNotFound', `line ${line}: no model ${model}`, {line});
      }
      this.modelName = model;
    }
    if (model !== this.modelName) {
      const message = `line ${line}: model ${model}, but the lines before name ${this.modelName}`;
      throw refuse('badRequest', message, {line});
    }
    if (this.customIds.has(item.customId)) {
      const message = `line ${line}: custom_id ${item.customId} stands twice`;
      throw refuse('badRequest', message, {line});
    }
    this.customIds.add(item.customId);
  }

  private closeChunk(): void {
    if (this.gathered.length > 0) {
      const lines = Buffer.from(`${this.gathered.join('\n')}\n`);
      this.chunks.push({items: this.gathered.length, lines});
      this.gathered = [];
      this.gatheredBytes = 0;
    }
  }

  private tooLong(line: number): Error {
    return refuse('bodyTooLarge', `line ${line} has more than ${MAX_LINE_BYTES} bytes`, {line});
  }
}
