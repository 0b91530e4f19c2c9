/**
 * Clients for calls to other VMs, one connection for each address.
 */
import type {Client} from '@connectrpc/connect';

import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';

import {PeerService} from './gen/stallpaddle/v1/peer_pb';
import {authorizationOf} from './RpcServer';

const MAX_MESSAGE_BYTES = 16_777_216;
/** Time between pings of a quiet connection, in milliseconds. */
const DEFAULT_PING_MS = 2_000;

/** How connections are watched. */
export interface RpcClientsOptions {
  /** Time between pings, and longest wait for a ping's answer, in milliseconds. */
  readonly pingMs?: number;
}

/** Client of one VM. */
export type PeerClient = Client<typeof PeerService>;

interface KnownClient {
  readonly client: PeerClient;
  readonly sessions: Http2SessionManager;
}

/** Clients by address, made when first used. */
export class RpcClients {
  private readonly clients = new Map<string, KnownClient>();

  /**
   * @param vmKey key that all VMs share
   * @param options how connections are watched
   */
  constructor(
    private readonly vmKey: string,
    private readonly options: RpcClientsOptions = {},
  ) {}

  /**
   * Client of the VM at an address.
   *
   * @param host IP number
   * @param port TCP port
   */
  at(host: string, port: number): PeerClient {
    const baseUrl = `http://${host.includes(':') ? `[${host}]` : host}:${port}`;
    const known = this.clients.get(baseUrl);
    if (known !== undefined) {
      return known.client;
    }
    const {pingMs = DEFAULT_PING_MS} = this.options;
    const sessions = new Http2SessionManager(baseUrl, {
      // A connection that was cut without a word must not hold up what comes after the cut: it is pinged
      // while streams stand, and before a call after a rest. Not at rest itself: the library would go on
      // pinging a session that was destroyed in the meantime, and throw.
      pingIdleConnection: false,
      pingIntervalMs: pingMs,
      pingTimeoutMs: pingMs,
    });
    const transport = createConnectTransport({
      // Messages are small and the network near: compressing costs more than it saves.
      acceptCompression: [],
      baseUrl,
      httpVersion: '2',
      interceptors: [
        (next) => (req) => {
          req.header.set('authorization', authorizationOf(this.vmKey));
          return next(req);
        },
      ],
      readMaxBytes: MAX_MESSAGE_BYTES,
      sessionManager: sessions,
    });
    const client = createClient(PeerService, transport);
    this.clients.set(baseUrl, {client, sessions});
    return client;
  }

  /** Ends all connections. */
  close(): void {
    this.clients.forEach(({sessions}) => sessions.abort());
    this.clients.clear();
  }
}
