/**
 * The server for calls between VMs: HTTP/2, authenticated by the key that all VMs share.
 */
import type {ConnectRouter} from '@connectrpc/connect';

import {connectNodeAdapter} from '@connectrpc/connect-node';
import {timingSafeEqual} from 'node:crypto';
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';

const MAX_MESSAGE_BYTES = 16_777_216;
const UNAUTHORIZED = 401;
/** Time without a byte after which a connection is ended: VMs call each other several times a second. */
const QUIET_SESSION_MS = 30_000;

/**
 * Bytes that a peer may send before this process has read them, in one call and in all calls of a connection. The
 * library's 64 KB cost a round trip each, and a turn of a busy process at both ends: 800 KB took half a second.
 */
const WINDOW_BYTES = 1_048_576;

/** A server that has started. */
export interface RpcServer {
  readonly stop: () => Promise<void>;
}

/**
 * Header value that proves a VM.
 *
 * @param vmKey key that all VMs share
 */
export function authorizationOf(vmKey: string): string {
  return `Bearer ${vmKey}`;
}

function isAllowed(header: string | undefined, expected: Buffer): boolean {
  const sent = Buffer.from(header ?? '');
  return sent.length === expected.length && timingSafeEqual(sent, expected);
}

/**
 * Starts the server.
 *
 * @param host IP number
 * @param port TCP port
 * @param vmKey key that all VMs share
 * @param routes adds the services
 * @param onRefused called with the address of a process that shows another key
 */
export async function startRpcServer(
  host: string,
  port: number,
  vmKey: string,
  routes: (router: ConnectRouter) => void,
  onRefused: (from: string) => void = () => {},
): Promise<RpcServer> {
  const expected = Buffer.from(authorizationOf(vmKey));
  const handler = connectNodeAdapter({
    acceptCompression: [],
    readMaxBytes: MAX_MESSAGE_BYTES,
    routes,
  });
  const sessions = new Set<ServerHttp2Session>();
  const settings = {initialWindowSize: WINDOW_BYTES};
  const server: Http2Server = createServer({settings}, (req, res) => {
    if (!isAllowed(req.headers.authorization, expected)) {
      onRefused(req.socket.remoteAddress ?? '');
      res.writeHead(UNAUTHORIZED).end();
      return;
    }
    handler(req, res);
  });
  server.on('session', (session) => {
    sessions.add(session);
    session.setLocalWindowSize(WINDOW_BYTES);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => session.destroy());
    // The other side may have gone without a word; it opens another when it needs one.
    session.setTimeout(QUIET_SESSION_MS, () => session.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    stop: async () => {
      const closed = new Promise((resolve) => server.close(resolve));
      sessions.forEach((session) => session.destroy());
      await closed;
    },
  };
}
