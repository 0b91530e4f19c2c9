/**
 * Writes lines to a file descriptor without ever holding the process up: a reader that is slow costs
 * lines, which are counted, and not time.
 */
import {writeSync} from 'node:fs';
import {Socket} from 'node:net';

import {delay} from './Clock';

/** Most bytes of lines that wait for a slow reader: some seconds of a busy process's lines. */
const WAITING_BYTES = 262_144;
/** Time between looks whether everything has been written, in milliseconds. */
const SETTLE_LOOK_MS = 1;

/** Takes bytes, and says when others may follow. */
type Sink = (bytes: Buffer, onWritten: () => void) => void;

/**
 * Opens a file descriptor for writing within the process's own turn. Writes that go through the library's pool of threads
 * woke the process up once more for each line, which cost more than all that the line told of.
 */
function openSink(fd: number): Sink {
  try {
    // A pipe is written to at once while it has room, and else when it has some again.
    const socket = new Socket({fd, readable: false, writable: true});
    // Nobody reads any more: the lines are lost, and the process goes on.
    socket.on('error', () => {});
    return (bytes, onWritten) => void socket.write(bytes, () => onWritten());
  } catch {
    // No pipe but a file, which takes all at once.
    return (bytes, onWritten) => {
      try {
        writeSync(fd, bytes);
      } catch {
        // The disk is full: the lines are lost, and the process goes on.
      }
      onWritten();
    };
  }
}

/** See the module's comment. */
export class LineWriter {
  private droppedLines = 0;
  private lines: string[] = [];
  private readonly sink: Sink;
  private waiting = 0;
  private writing = false;

  /**
   * @param fd file descriptor, such as 1 for standard output
   */
  constructor(fd: number) {
    this.sink = openSink(fd);
  }

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
  async drain(): Promise<void> {
    while (this.writing) {
      await delay(SETTLE_LOOK_MS);
    }
  }

  private flush(): void {
    const bytes = Buffer.from(this.lines.join(''));
    this.lines = [];
    this.sink(bytes, () => this.onWritten());
  }

  private onWritten(): void {
    this.waiting = this.lines.reduce((sum, {length}) => sum + length, 0);
    this.writing = this.lines.length > 0;
    if (this.writing) {
      this.flush();
    }
  }
}
