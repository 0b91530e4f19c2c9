/**
 * Splitting of large messages into chunks, and their reassembly.
 */
import type {MessageInitShape} from '@bufbuild/protobuf';

import type {DeliverRequest, MessagePart, MessagePartSchema} from './gen/stallpaddle/v1/peer_pb';

/**
 * Largest chunk, in bytes. Bounds how long an urgent message waits behind one, 80 ms at the 1.6 KB/ms of a busy VM's link;
 * each chunk costs a round trip.
 */
export const MAX_CHUNK_BYTES = 131_072;

/** Largest message that is reassembled, in bytes; larger than any command that callers may send. */
const MAX_REASSEMBLED_BYTES = 67_108_864;

/** Most incomplete messages of one stream: one for each replica on a VM, and one for its successor. */
const MAX_INCOMPLETE_MESSAGES = 4;

/** Id of the latest message that was split; unique in the process, as several outboxes share a stream. */
let lastMessageId = 0;

/**
 * Splits a message into chunks. Urgent messages can be sent between two chunks, and each chunk that arrives shows that
 * the connection works.
 */
export class RpcSplitter {
  private readonly message = ++lastMessageId;
  private offset = 0;

  /**
   * @param bytes the message
   */
  constructor(private readonly bytes: Uint8Array) {}

  /** Whether all chunks were taken. */
  get ended(): boolean {
    return this.offset >= this.bytes.length;
  }

  /** Takes the next chunk. */
  next(): MessageInitShape<typeof MessagePartSchema> {
    const {bytes, message, offset} = this;
    const end = Math.min(bytes.length, offset + MAX_CHUNK_BYTES);
    this.offset = end;
    return {bytes: bytes.subarray(offset, end), last: end === bytes.length, message, offset};
  }
}

/** The first chunks of an incomplete message, in order. */
interface IncompleteMessage {
  readonly bytes: number;
  readonly chunks: readonly Uint8Array[];
}

const EMPTY: IncompleteMessage = {bytes: 0, chunks: []};

/** Reassembles the chunked messages of one stream. */
export class RpcReassembler {
  private readonly incomplete = new Map<number, IncompleteMessage>();

  /**
   * Adds a chunk. A message with a missing or repeated chunk is dropped, as replication tolerates lost messages.
   *
   * @param chunk the chunk
   * @returns the message, if this was its last chunk
   */
  take({bytes, last, message, offset}: MessagePart): Uint8Array | undefined {
    const previous = offset === 0 ? EMPTY : this.incomplete.get(message);
    this.incomplete.delete(message);
    if (previous?.bytes !== offset || offset + bytes.length > MAX_REASSEMBLED_BYTES) {
      return undefined;
    }
    const chunks = [...previous.chunks, bytes];
    if (last) {
      return Buffer.concat(chunks);
    }
    this.incomplete.set(message, {bytes: offset + bytes.length, chunks});
    this.dropOldest();
    return undefined;
  }

  private dropOldest(): void {
    const [oldest] = this.incomplete.keys();
    if (oldest !== undefined && this.incomplete.size > MAX_INCOMPLETE_MESSAGES) {
      this.incomplete.delete(oldest);
    }
  }
}

/**
 * Returns the whole messages of a delivery, and the one that its chunk completes.
 *
 * @param delivery the delivery
 * @param reassembler incomplete messages of the same stream
 */
export function completeMessages(
  {encoded, part}: DeliverRequest,
  reassembler: RpcReassembler,
): readonly Uint8Array[] {
  const completed = part === undefined ? undefined : reassembler.take(part);
  return completed === undefined ? encoded : [...encoded, completed];
}
