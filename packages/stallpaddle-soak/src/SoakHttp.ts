/**
 * Calls over HTTP that tell apart what a caller can: an answer that is whole, one that broke off, none at all.
 */
import {type Agent, request} from 'node:http';

import type {SoakCall} from './SoakWire';

/** What came of a call. */
export type SoakReply =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly text: string;
      readonly whole: boolean;
    }
  | {readonly kind: 'broken'};

/** How a call is made. */
export interface SoakCallOptions {
  /** IP number and port. */
  readonly address: string;
  /** Keeps connections open between calls; false for a connection of its own. */
  readonly agent: Agent | false;
  /** Longest time of the call, in milliseconds; then its connection is closed. */
  readonly mostMs: number;
}

/**
 * Makes a call; never rejects.
 *
 * @param call the call
 * @param options how it is made
 */
export function makeCall(
  {body, headers, method, path}: SoakCall,
  {address, agent, mostMs}: SoakCallOptions,
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
    const timer = setTimeout(() => req.destroy(), mostMs);
    const end = (reply: SoakReply): void => {
      clearTimeout(timer);
      resolve(reply);
    };
    req.on('error', () => end({kind: 'broken'}));
    req.on('response', (res) => {
      let text = '';
      const answer = (): void =>
        end({kind: 'answer', status: res.statusCode ?? 0, text, whole: res.complete});
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => (text += chunk));
      res.on('error', () => {});
      res.on('close', answer);
    });
    req.end(body);
  });
}
