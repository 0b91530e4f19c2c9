/**
 * Clients for calls to other VMs, one connection for each address.
 */
import type {Client} from '@connectrpc/connect';

import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {connect, type Socket} from 'node:net';

import {PeerService} from './gen/stallpaddle/v1/peer_pb';
import {authorizationOf} from './RpcServer';

const MAX_MESSAGE_BYTES = 16_777_216;
/** Time between pings of a quiet connection, and longest wait for an answer, in milliseconds. */
const PING_MS = 2_000;

/** Client of one VM. */
export type PeerClient = Client<typeof PeerService>;

/** A connection to one VM; made when first used, and again when it broke. */
export interface PeerConnection {
  readonly client: PeerClient;
  /** Ends the connection and all calls on it. */
  readonly close: () => void;
  /** Whether the other VM has taken the connection; one without power takes none. */
  readonly isAccepted: () => boolean;
  /** Bytes that have come so far. */
  readonly receivedBytes: () => number;
}

/** The sockets of a connection, one after the other. */
class RpcSockets {
  private earlierBytes = 0;
  private socket: Socket | undefined;

  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  get isAccepted(): boolean {
    return this.socket?.connecting === false && !this.socket.destroyed;
  }

  get receivedBytes(): number {
    return this.earlierBytes + (this.socket?.bytesRead ?? 0);
  }

  open(): Socket {
    this.earlierBytes = this.receivedBytes;
    this.socket = connect(this.port, this.host);
    return this.socket;
  }
}

/**
 * Makes a connection.
 *
 * @param vmKey key that all VMs share
 * @param host IP number
 * @param port TCP port
 * @param pingMs time between pings, and longest wait for a ping's answer, in milliseconds; null for none
 */
export function openConnection(
  vmKey: string,
  host: string,
  port: number,
  pingMs: null | number,
): PeerConnection {
  const baseUrl = `http://${host.includes(':') ? `[${host}]` : host}:${port}`;
  const sockets = new RpcSockets(host, port);
  const pings = {
    // Not at rest: the library would go on pinging a session that was destroyed in the meantime, and throw.
    pingIdleConnection: false,
    pingIntervalMs: pingMs ?? undefined,
    pingTimeoutMs: pingMs ?? undefined,
  };
  const createConnection = (): Socket => sockets.open();
  const sessions = new Http2SessionManager(baseUrl, pings, {createConnection});
  const transport = createConnectTransport({
    // Messages are small and the network near: compressing costs more than it saves.
    acceptCompression: [],
    baseUrl,
    httpVersion: '2',
    interceptors: [
      (next) => (req) => {
        req.header.set('authorization', authorizationOf(vmKey));
        return next(req);
      },
    ],
    readMaxBytes: MAX_MESSAGE_BYTES,
    sessionManager: sessions,
  });
  return {
    client: createClient(PeerService, transport),
    close: () => sessions.abort(),
    isAccepted: () => sockets.isAccepted,
    receivedBytes: () => sockets.receivedBytes,
  };
}

/** Clients by address, made when first used. */
export class RpcClients {
  private readonly connections = new Map<string, PeerConnection>();

  /**
   * @param vmKey key that all VMs share
   */
  constructor(private readonly vmKey: string) {}

  /**
   * Client of the VM at an address.
   *
   * @param host IP number
   * @param port TCP port
   */
  at(host: string, port: number): PeerClient {
    const address = `${host}:${port}`;
    const known = this.connections.get(address) ?? openConnection(this.vmKey, host, port, PING_MS);
    this.connections.set(address, known);
    return known.client;
  }

  /** Ends all connections. */
  close(): void {
    this.connections.forEach((connection) => connection.close());
    this.connections.clear();
  }
}
