/**
 * Non-blocking output of lines to a file descriptor.
 */
import {writeSync} from 'node:fs';
import {Socket} from 'node:net';

import {delay} from './Clock';

/** Most bytes that are buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 262_144;
/** Interval at which `drain` checks whether everything has been written, in milliseconds. */
const DRAIN_POLL_MS = 1;

/** Writes bytes and calls back once the next ones may be written. */
type Sink = (bytes: Buffer, onWritten: () => void) => void;

/**
 * Opens a file descriptor for writing on the event loop's thread. Asynchronous file writes would go through libuv's
 * thread pool, which wakes the process once more for each write.
 */
function openSink(fd: number): Sink {
  try {
    // A pipe: a write completes at once while the pipe has room, and otherwise once it has room again.
    const socket = new Socket({fd, readable: false, writable: true});
    // The reader has closed the pipe: the lines are dropped and the process continues.
    socket.on('error', () => {});
    return (bytes, onWritten) => void socket.write(bytes, () => onWritten());
  } catch {
    // Not a pipe but a file, which can be written to synchronously.
    return (bytes, onWritten) => {
      try {
        writeSync(fd, bytes);
      } catch {
        // The write failed, for example on a full disk: the lines are dropped and the process continues.
      }
      onWritten();
    };
  }
}

/** Writes lines without blocking the process; drops and counts lines when the reader is too slow. */
export class LineWriter {
  private droppedLines = 0;
  private lines: string[] = [];
  private readonly sink: Sink;
  private unwrittenBytes = 0;
  private writing = false;

  /**
   * @param fd file descriptor, such as 1 for standard output
   */
  constructor(fd: number) {
    this.sink = openSink(fd);
  }

  /**
   * Buffers a line for writing, or drops it when the buffer is full.
   *
   * @param line the line, including its line feed
   */
  add(line: string): void {
    if (this.unwrittenBytes > MAX_BUFFERED_BYTES) {
      this.droppedLines++;
      return;
    }
    if (this.droppedLines > 0) {
      const notice = `{"message":"Lines were left out.","lines":${this.droppedLines}}\n`;
      this.droppedLines = 0;
      this.add(notice);
    }
    this.unwrittenBytes += line.length;
    this.lines.push(line);
    if (!this.writing) {
      this.writing = true;
      setImmediate(() => this.flush());
    }
  }

  /** Resolves once all buffered lines have been written. */
  async drain(): Promise<void> {
    while (this.writing) {
      await delay(DRAIN_POLL_MS);
    }
  }

  private flush(): void {
    const bytes = Buffer.from(this.lines.join(''));
    this.lines = [];
    this.sink(bytes, () => this.onWritten());
  }

  private onWritten(): void {
    this.unwrittenBytes = this.lines.reduce((sum, {length}) => sum + length, 0);
    this.writing = this.lines.length > 0;
    if (this.writing) {
      this.flush();
    }
  }
}
