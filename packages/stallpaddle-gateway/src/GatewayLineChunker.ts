/**
 * Splitting of uploaded batch files into chunks.
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

/** Splits an upload into lines as it arrives, validates each line and groups them into chunks. */
export class GatewayLineChunker {
  private readonly chunks: UploadedChunk[] = [];
  private readonly customIds = new Set<string>();
  private pending: string[] = [];
  private pendingBytes = 0;
  private line = 0;
  private modelName = '';
  private remainder: Buffer = Buffer.alloc(0);

  /**
   * @param config configuration with the available models
   */
  constructor(private readonly config: FleetConfig) {}

  /** Model of all items; empty before the first item. */
  get model(): string {
    return this.modelName;
  }

  /**
   * Adds the next bytes of the upload.
   *
   * @param data the bytes
   * @throws {RefusalError} with the number of the first invalid line
   */
  push(data: Buffer): void {
    this.remainder = this.remainder.length === 0 ? data : Buffer.concat([this.remainder, data]);
    let from = 0;
    for (
      let at = this.remainder.indexOf(NEWLINE);
      at >= 0;
      at = this.remainder.indexOf(NEWLINE, from)
    ) {
      this.addLine(this.remainder.subarray(from, at));
      from = at + 1;
    }
    this.remainder = this.remainder.subarray(from);
    if (this.remainder.length > MAX_LINE_BYTES) {
      throw this.tooLong(this.line + 1);
    }
  }

  /** Adds the text after the last newline as a line and closes the last chunk. */
  end(): void {
    this.addLine(this.remainder);
    this.remainder = Buffer.alloc(0);
    this.closeChunk();
  }

  /** Total bytes of the complete chunks that have not been taken. */
  get readyBytes(): number {
    return this.chunks.reduce((sum, {lines}) => sum + lines.length, 0);
  }

  /** Removes and returns the complete chunks. */
  takeChunks(): readonly UploadedChunk[] {
    return this.chunks.splice(0);
  }

  private addLine(bytes: Buffer): void {
    this.line++;
    if (bytes.length > MAX_LINE_BYTES) {
      throw this.tooLong(this.line);
    }
    const text = bytes.toString().trim();
    if (text === '') {
      return;
    }
    this.validate(text);
    this.pending.push(text);
    this.pendingBytes += bytes.length + 1;
    if (this.pending.length >= CHUNK_ITEMS || this.pendingBytes >= CHUNK_BYTES) {
      this.closeChunk();
    }
  }

  private validate(text: string): void {
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
      const message = `line ${line}: model ${model} differs from ${this.modelName} of earlier lines`;
      throw refuse('badRequest', message, {line});
    }
    if (this.customIds.has(item.customId)) {
      const message = `line ${line}: duplicate custom_id ${item.customId}`;
      throw refuse('badRequest', message, {line});
    }
    this.customIds.add(item.customId);
  }

  private closeChunk(): void {
    if (this.pending.length > 0) {
      const lines = Buffer.from(`${this.pending.join('\n')}\n`);
      this.chunks.push({items: this.pending.length, lines});
      this.pending = [];
      this.pendingBytes = 0;
    }
  }

  private tooLong(line: number): Error {
    return refuse('bodyTooLarge', `line ${line} has more than ${MAX_LINE_BYTES} bytes`, {line});
  }
}
