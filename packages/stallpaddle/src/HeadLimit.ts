/** Bounds what a server sends before the head of its response is complete. */
import type {ClientRequest} from 'node:http';

/**
 * Largest number of bytes before a response, with all interim responses, in bytes. Node bounds each head, but neither the
 * number of interim responses nor the blank lines before a head.
 */
const MAX_BYTES_BEFORE_RESPONSE = 65_536;

/**
 * Makes a request fail when its server sends bytes without end and no response.
 *
 * @param req a request that was just created and doesn't share its connection
 */
export function registerHeadLimit(req: ClientRequest): void {
  let bytes = 0;
  let hasResponse = false;
  req.once('response', () => {
    hasResponse = true;
  });
  req.once('socket', (socket) => {
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (hasResponse) {
        // The chunk that completes the head may hold much of the body.
        socket.off('data', onData);
      } else if (bytes > MAX_BYTES_BEFORE_RESPONSE) {
        req.destroy(new Error(`${bytes} bytes arrived without a response`));
      }
    };
    socket.on('data', onData);
  });
}
