/**
 * When streams of engines are read: all of a process on one beat. Each arrival by itself would wake the process up, and a
 * turn costs more than the event that it brings; callers allow an event some time on its way.
 */

/** A stream that is read on the beat. */
export interface BeatReader {
  /** Reads what has arrived. */
  readonly read: () => void;
  /** Leaves what arrives where it is. */
  readonly rest: () => void;
}

/**
 * Time until the next beat: beats stand on one grid, so that streams that began at any time are read together.
 *
 * @param nowMs the steady clock, in milliseconds
 * @param periodMs time between beats, in milliseconds
 */
export function untilBeatMs(nowMs: number, periodMs: number): number {
  return periodMs - (nowMs % periodMs);
}

/** See the module's comment. */
export class RelayBeat {
  private readonly readers = new Set<BeatReader>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param periodMs time between beats, in milliseconds: the longest time that an event waits here
   */
  constructor(readonly periodMs: number) {}

  /**
   * Reads a stream on the beat only, from now on.
   *
   * @param reader the stream
   */
  add(reader: BeatReader): void {
    this.readers.add(reader);
    reader.rest();
    this.arm();
  }

  /**
   * Leaves a stream alone.
   *
   * @param reader the stream
   */
  remove(reader: BeatReader): void {
    this.readers.delete(reader);
    if (this.readers.size === 0) {
      clearTimeout(this.timer);
      this.timer = undefined;
    }
  }

  private arm(): void {
    this.timer ??= setTimeout(() => this.beat(), untilBeatMs(performance.now(), this.periodMs));
  }

  /** Sockets are read between timers and immediates of one turn. */
  private beat(): void {
    this.timer = undefined;
    this.readers.forEach((reader) => reader.read());
    setImmediate(() => this.readers.forEach((reader) => reader.rest()));
    if (this.readers.size > 0) {
      this.arm();
    }
  }
}
