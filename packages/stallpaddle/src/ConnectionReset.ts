/**
 * Detects reset connections under HTTP responses without a content length. Such a response ends with its connection, so
 * a response that was cut off by a reset would otherwise look complete.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Whether an ended connection was reset. When unread data and a reset are pending together, libuv reports the data and
 * then an ordinary end. A socket that was reset has no remote address any more; one that the peer closed still has.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Makes the response of a request fail when its connection is reset before the response is complete.
 *
 * @param req a request that was just created and doesn't share its connection
 * @returns removes the listeners
 */
export function registerResetDetector(req: ClientRequest): () => void {
  let response: IncomingMessage | undefined;
  const onResponse = (res: IncomingMessage): void => {
    response = res;
  };
  // Must run before the parser's own listener, which treats the end as the end of a response without a length.
  const onSocket = (socket: Socket): void => {
    socket.prependListener('end', () => {
      if (response?.complete === false && wasReset(socket)) {
        response.destroy(new Error('the connection was reset'));
      }
    });
  };
  // The parser also treats such a response as complete when the reset was reported as an error.
  const onError = (err: Error): void => {
    response?.destroy(err);
  };
  req.prependListener('response', onResponse);
  req.on('socket', onSocket);
  req.on('error', onError);
  return () => {
    req.off('response', onResponse);
    req.off('socket', onSocket);
    req.off('error', onError);
  };
}
