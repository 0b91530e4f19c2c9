/**
 * Writes lines to a file descriptor without ever holding the process up: a reader that is slow costs
 * lines, which are counted, and not time.
 */
import {write} from 'node:fs';

import {delay} from './Clock';

/** Most bytes of lines that wait for a slow reader: some seconds of a busy process's lines. */
const WAITING_BYTES = 262_144;
/** Pause before a full pipe is tried again, in milliseconds. */
const FULL_PIPE_MS = 20;
/** Time between looks whether everything has been written, in milliseconds. */
const SETTLE_LOOK_MS = 1;

/** See the module's comment. */
export class LineWriter {
  private droppedLines = 0;
  private lines: string[] = [];
  private waiting = 0;
  private writing = false;

  /**
   * @param fd file descriptor, such as 1 for standard output
   */
  constructor(private readonly fd: number) {}

  /**
   * Writes a line soon, or drops it when too much waits.
   *
   * @param line the line with its line feed
   */
  add(line: string): void {
    if (this.waiting > WAITING_BYTES) {
      this.droppedLines++;
      return;
    }
    if (this.droppedLines > 0) {
      const told = `{"message":"Lines were left out.","lines":${this.droppedLines}}\n`;
      this.droppedLines = 0;
      this.add(told);
    }
    this.waiting += line.length;
    this.lines.push(line);
    if (!this.writing) {
      this.writing = true;
      setImmediate(() => this.flush());
    }
  }

  /** Resolves once everything that was added has been written. */
  async settle(): Promise<void> {
    while (this.writing) {
      await delay(SETTLE_LOOK_MS);
    }
  }

  private flush(): void {
    const bytes = Buffer.from(this.lines.join(''));
    this.lines = [];
    this.send(bytes);
  }

  private send(bytes: Buffer): void {
    write(this.fd, bytes, (err, written) => {
      if (err !== null && err.code === 'EAGAIN') {
        setTimeout(() => this.send(bytes), FULL_PIPE_MS);
        return;
      }
      // Nobody reads any more: the lines are lost, and the process goes on.
      const rest = err === null ? bytes.subarray(written) : Buffer.alloc(0);
      if (rest.length > 0) {
        this.send(rest);
        return;
      }
      this.waiting = this.lines.reduce((sum, {length}) => sum + length, 0);
      this.writing = this.lines.length > 0;
      if (this.writing) {
        this.flush();
      }
    });
  }
}
