/**
 * Bound on the bytes that a VM holds for callers that read slowly.
 */
import type {ServerResponse} from 'node:http';

/** Time without reading after which a caller is disconnected, in milliseconds. */
const MAX_STALL_MS = 5_000;
/** Bytes held for a caller up to which it may read nothing. */
const MAX_STALLED_BYTES = 65_536;

/** Reason why a caller was disconnected. */
export type DisconnectReason =
  /** Bytes held for all callers exceeded their bound, and this caller's were the most. */
  | 'mostHeld'
  /** The caller read nothing for some time. */
  | 'notRead';

/** Dependencies of {@link RelayHeldBytes}. */
export interface RelayHeldBytesOptions {
  /** Bound over all responses, in bytes; undefined for none. */
  readonly limitBytes: () => number | undefined;
  /** Called before a caller is disconnected. */
  readonly onDisconnect: (res: ServerResponse, reason: DisconnectReason, bytes: number) => void;
  /** Time without reading after which a caller is disconnected, in milliseconds; shorter in tests. */
  readonly stallMs?: number;
}

/**
 * Counts the bytes that are held for callers over all responses. Each response already stops reading from its engine while
 * its caller doesn't read, but many slow callers together would exceed the VM's memory, and then the process is killed.
 */
export class RelayHeldBytes {
  /** Responses with the bytes that they held when they were last counted. */
  private readonly counted = new Map<ServerResponse, number>();
  private readonly timed = new WeakSet<ServerResponse>();
  private isCheckDue = false;
  /** Sum of `counted`. It is too high by what callers have read since, so it is counted again before it has effects. */
  private estimate = 0;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: RelayHeldBytesOptions) {}

  /** Bytes held at the moment. */
  get bytes(): number {
    return this.recount();
  }

  /** Bytes held as a fraction of their bound; undefined without a bound. */
  get fraction(): number | undefined {
    const limit = this.options.limitBytes();
    return limit === undefined ? undefined : this.bytes / limit;
  }

  /**
   * Counts the bytes that a response holds after a write.
   *
   * @param res the response
   */
  noteWrite(res: ServerResponse): void {
    const limit = this.options.limitBytes();
    if (limit === undefined || res.destroyed) {
      return;
    }
    const before = this.counted.get(res);
    const held = res.writableLength;
    if (before === undefined) {
      res.once('close', () => this.remove(res));
    }
    this.counted.set(res, held);
    this.estimate += held - (before ?? 0);
    if (held > MAX_STALLED_BYTES && !this.timed.has(res)) {
      this.timed.add(res);
      res.setTimeout(this.options.stallMs ?? MAX_STALL_MS, () => this.onStall(res));
    }
    if (this.estimate > limit && !this.isCheckDue) {
      this.isCheckDue = true;
      // A write counts as held until the next turn of the event loop, even where the caller reads at once.
      setImmediate(() => this.enforce());
    }
  }

  private remove(res: ServerResponse): void {
    this.estimate -= this.counted.get(res) ?? 0;
    this.counted.delete(res);
  }

  private recount(): number {
    this.estimate = 0;
    for (const res of this.counted.keys()) {
      const held = res.writableLength;
      this.counted.set(res, held);
      this.estimate += held;
    }
    return this.estimate;
  }

  /** Handles a socket without activity; Node extends the time while a write makes progress. */
  private onStall(res: ServerResponse): void {
    if (this.options.limitBytes() !== undefined && res.writableLength > MAX_STALLED_BYTES) {
      this.disconnect(res, 'notRead');
    }
  }

  /** Disconnects the callers for which the most is held, until the bound holds. */
  private enforce(): void {
    this.isCheckDue = false;
    const limit = this.options.limitBytes();
    if (limit === undefined || this.recount() <= limit) {
      return;
    }
    const largestFirst = [...this.counted].sort(([, a], [, b]) => b - a);
    for (const [res] of largestFirst) {
      if (this.estimate <= limit) {
        return;
      }
      this.disconnect(res, 'mostHeld');
    }
  }

  private disconnect(res: ServerResponse, reason: DisconnectReason): void {
    this.options.onDisconnect(res, reason, res.writableLength);
    this.remove(res);
    res.destroy();
  }
}
