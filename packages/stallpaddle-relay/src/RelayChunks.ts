/** Reading of responses as they arrive. */
import type {IncomingMessage} from 'node:http';

import {finished} from 'node:stream';

/** Whether reading goes on after a chunk; it pauses until a promise is resolved. */
export type ChunkResult = boolean | Promise<boolean>;

/**
 * Reads a response chunk by chunk. Listeners take much less processor time for small chunks than an async iterator, which
 * waits for several promises for each of them.
 *
 * @param res the response
 * @param onChunk handles a chunk; when its result is false, or it throws, reading stops
 * @returns whether the response was read to its end; rejects when the response was interrupted or `onChunk` threw
 */
export function readChunks(
  res: IncomingMessage,
  onChunk: (chunk: Buffer) => ChunkResult,
): Promise<boolean> {
  return new Promise((resolve, reject) => {
    /** Result of the latest chunk; a response may end before it is known. */
    let latest: ChunkResult = true;
    const stop = (): void => {
      res.off('data', onData);
      res.pause();
      cancel();
    };
    const onResult = (goesOn: boolean): void => {
      if (goesOn) {
        res.resume();
      } else {
        stop();
        resolve(false);
      }
    };
    const fail = (err: unknown): void => {
      stop();
      reject(err as Error);
    };
    const onData = (chunk: Buffer): void => {
      try {
        latest = onChunk(chunk);
        if (typeof latest !== 'boolean') {
          res.pause();
          latest.then(onResult, fail);
        } else if (!latest) {
          onResult(false);
        }
      } catch (err) {
        fail(err);
      }
    };
    const cancel = finished(res, {writable: false}, (err) => {
      res.off('data', onData);
      if (err) {
        reject(err);
      } else {
        resolve(latest);
      }
    });
    res.on('data', onData);
  });
}
