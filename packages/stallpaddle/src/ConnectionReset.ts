/**
 * Answers of other servers without a length: they end with their connection, and must not pass for whole when that
 * was reset.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Whether a connection that ended was reset. When bytes and a reset wait together, libuv reports the bytes and
 * then an ordinary end (13 of 400 resets beside a busy client). A socket that was reset has no peer any more; one
 * that the other side closed still has.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Makes an answer fail whose connection is reset before its end.
 *
 * @param req the request, just made, on a connection of its own
 * @returns ends the watch
 */
export function registerResetDetector(req: ClientRequest): () => void {
  let answer: IncomingMessage | undefined;
  const onResponse = (res: IncomingMessage): void => {
    answer = res;
  };
  // Before the parser hears of the end, which it takes for that of an answer without a length.
  const onSocket = (socket: Socket): void => {
    socket.prependListener('end', () => {
      if (answer?.complete === false && wasReset(socket)) {
        answer.destroy(new Error('the connection was reset'));
      }
    });
  };
  // The parser takes such an answer for whole also when the reset was reported as an error.
  const onError = (err: Error): void => {
    answer?.destroy(err);
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
