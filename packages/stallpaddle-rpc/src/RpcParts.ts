/**
 * Parts of messages too large to go at once: what waits for a VM may pass between two of them, and each part that
 * arrives shows that its connection lives.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import type {DeliverRequest, MessagePart, MessagePartSchema} from './gen/stallpaddle/v1/peer_pb';

/**
 * Most bytes of one part. Links of busy VMs were seen to carry 1.6 KB a millisecond, so an urgent message waits 80 ms
 * at most; each part costs a round trip.
 */
export const PART_BYTES = 131_072;

/** Largest message that is put together from parts, in bytes: above any command that callers may send. */
const MOST_BYTES = 67_108_864;

/** A message under way in parts. */
export class RpcSplit {
  private offset = 0;

  /**
   * @param message tells it apart from others of the stream
   * @param bytes the message
   */
  constructor(
    private readonly message: number,
    private readonly bytes: Uint8Array,
  ) {}

  /** Whether all parts were taken. */
  get ended(): boolean {
    return this.offset >= this.bytes.length;
  }

  /** Takes the next part. */
  next(): MessageInitShape<typeof MessagePartSchema> {
    const {bytes, message, offset} = this;
    const end = Math.min(bytes.length, offset + PART_BYTES);
    this.offset = end;
    return {bytes: bytes.subarray(offset, end), last: end === bytes.length, message, offset};
  }
}

/** Puts the messages of one stream together again. */
export class RpcJoin {
  private bytes = 0;
  private message: number | undefined;
  private parts: Uint8Array[] = [];

  /**
   * Takes in a part. A message of which a part is missing is dropped, as a network would.
   *
   * @param part the part
   * @returns the whole message, with its last part
   */
  take({bytes, last, message, offset}: MessagePart): Uint8Array | undefined {
    if (offset === 0) {
      this.begin(message);
    }
    const follows = message === this.message && offset === this.bytes;
    if (!follows || this.bytes + bytes.length > MOST_BYTES) {
      this.begin(undefined);
      return undefined;
    }
    this.parts.push(bytes);
    this.bytes += bytes.length;
    if (!last) {
      return undefined;
    }
    const whole = Buffer.concat(this.parts);
    this.begin(undefined);
    return whole;
  }

  private begin(message: number | undefined): void {
    this.message = message;
    this.parts = [];
    this.bytes = 0;
  }
}

/**
 * Messages that a delivery brings, each whole.
 *
 * @param delivery the delivery
 * @param join what came before it on the same stream
 */
export function messagesOf({encoded, part}: DeliverRequest, join: RpcJoin): readonly Uint8Array[] {
  const joined = part === undefined ? undefined : join.take(part);
  return joined === undefined ? encoded : [...encoded, joined];
}
