/** HTTP client of a soak: distinguishes complete, incomplete and missing responses. */
import {type Agent, request} from 'node:http';

import type {SoakCall} from './SoakWire';

import {eventCount} from './SoakOutput';

/** Outcome of a call: a response, which `whole` marks as complete, or a failed connection. */
export type SoakReply =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly text: string;
      readonly whole: boolean;
    }
  | {readonly kind: 'broken'};

/** Options of a call. */
export interface SoakCallOptions {
  /** IP address and port. */
  readonly address: string;
  /** Connection pool; false for a separate connection. */
  readonly agent: Agent | false;
  /** Number of events after which the caller closes the connection; never if omitted. */
  readonly leaveAfter?: number | undefined;
  /** Timeout of the call, in milliseconds; then its connection is closed. */
  readonly timeoutMs: number;
}

/**
 * Makes a call; never rejects.
 *
 * @param call request to send
 * @param options options of the call
 */
export function makeCall(
  {body, headers, method, path}: SoakCall,
  {address, agent, leaveAfter = Infinity, timeoutMs}: SoakCallOptions,
): Promise<SoakReply> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const req = request({
      agent,
      headers: {
        ...headers,
        ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)}),
      },
      host,
      method,
      path,
      port,
    });
    let hasLeft = false;
    const leave = (): void => {
      hasLeft = true;
      req.destroy();
    };
    const timer = setTimeout(leave, timeoutMs);
    const end = (reply: SoakReply): void => {
      clearTimeout(timer);
      resolve(reply);
    };
    req.on('error', () => end({kind: 'broken'}));
    req.on('response', (res) => {
      let text = '';
      // What was not read when the caller left is discarded, although the response may be complete.
      const answer = (): void =>
        end({kind: 'answer', status: res.statusCode ?? 0, text, whole: res.complete && !hasLeft});
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => {
        text += chunk;
        if (eventCount(text) >= leaveAfter) {
          leave();
        }
      });
      res.on('error', () => {});
      res.on('close', answer);
    });
    req.end(body);
  });
}
