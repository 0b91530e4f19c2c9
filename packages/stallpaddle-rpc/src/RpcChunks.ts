/**
 * Parts of messages too large to go at once: what waits for a VM may pass between two of them, and each part that
 * arrives shows that its connection lives.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import type {DeliverRequest, MessagePart, MessagePartSchema} from './gen/stallpaddle/v1/peer_pb';

/**
 * Most bytes of one part. Links of busy VMs were seen to carry 1.6 KB a millisecond, so an urgent message waits 80 ms
 * at most, since it goes alone; each part costs a round trip.
 */
export const MAX_CHUNK_BYTES = 131_072;

/** Largest message that is put together from parts, in bytes: above any command that callers may send. */
const MOST_BYTES = 67_108_864;

/** Most messages of one stream that are put together at once: one for each replica on a VM, and its successor. */
const MOST_MESSAGES = 4;

/** Number of the latest message that went in parts: messages of several outboxes share a stream. */
let latestMessage = 0;

/** A message under way in parts. */
export class RpcSplitter {
  private readonly message = ++latestMessage;
  private offset = 0;

  /**
   * @param bytes the message
   */
  constructor(private readonly bytes: Uint8Array) {}

  /** Whether all parts were taken. */
  get ended(): boolean {
    return this.offset >= this.bytes.length;
  }

  /** Takes the next part. */
  next(): MessageInitShape<typeof MessagePartSchema> {
    const {bytes, message, offset} = this;
    const end = Math.min(bytes.length, offset + MAX_CHUNK_BYTES);
    this.offset = end;
    return {bytes: bytes.subarray(offset, end), last: end === bytes.length, message, offset};
  }
}

/** Bytes that have come of a message, in order. */
interface Begun {
  readonly bytes: number;
  readonly parts: readonly Uint8Array[];
}

const NOTHING: Begun = {bytes: 0, parts: []};

/** Puts the messages of one stream together again. */
export class RpcReassembler {
  private readonly begun = new Map<number, Begun>();

  /**
   * Takes in a part. A message of which a part is missing is dropped, as a network would.
   *
   * @param part the part
   * @returns the whole message, with its last part
   */
  take({bytes, last, message, offset}: MessagePart): Uint8Array | undefined {
    const before = offset === 0 ? NOTHING : this.begun.get(message);
    this.begun.delete(message);
    if (before?.bytes !== offset || offset + bytes.length > MOST_BYTES) {
      return undefined;
    }
    const parts = [...before.parts, bytes];
    if (last) {
      return Buffer.concat(parts);
    }
    this.begun.set(message, {bytes: offset + bytes.length, parts});
    this.forgetOldest();
    return undefined;
  }

  private forgetOldest(): void {
    const [oldest] = this.begun.keys();
    if (oldest !== undefined && this.begun.size > MOST_MESSAGES) {
      this.begun.delete(oldest);
    }
  }
}

/**
 * Messages that a delivery brings, each whole.
 *
 * @param delivery the delivery
 * @param join what came before it on the same stream
 */
export function completeMessages(
  {encoded, part}: DeliverRequest,
  join: RpcReassembler,
): readonly Uint8Array[] {
  const joined = part === undefined ? undefined : join.take(part);
  return joined === undefined ? encoded : [...encoded, joined];
}
