/**
 * Connections and clients for calls to other VMs.
 */
import type {Client} from '@connectrpc/connect';

import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {connect, type Socket} from 'node:net';

import {PeerService} from './gen/stallpaddle/v1/peer_pb';
import {authorizationOf} from './RpcServer';

const MAX_MESSAGE_BYTES = 16_777_216;
/** Time between pings while calls are open, and the timeout of a ping, in milliseconds. */
const PING_MS = 2_000;

/** Client of one VM. */
export type PeerClient = Client<typeof PeerService>;

/** A connection to one VM, opened on first use and reopened after it broke. */
export interface PeerConnection {
  readonly client: PeerClient;
  /** Closes the connection and fails all calls on it. */
  readonly close: () => void;
  /** Whether the other VM has accepted the TCP connection, which it does not while it is down. */
  readonly isAccepted: () => boolean;
  /** Bytes received so far, over all sockets of the connection. */
  readonly receivedBytes: () => number;
}

/** Opens the successive sockets of a connection and adds up the bytes that they receive. */
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
 * Creates a connection, which is opened on first use.
 *
 * @param vmKey key that all VMs share
 * @param host IP number
 * @param port TCP port
 * @param pingMs time between pings while calls are open, and the timeout of a ping, in milliseconds; null for none
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
    // The library would go on pinging an idle session after it was destroyed, and throw.
    pingIdleConnection: false,
    pingIntervalMs: pingMs ?? undefined,
    pingTimeoutMs: pingMs ?? undefined,
  };
  const createConnection = (): Socket => sockets.open();
  const sessions = new Http2SessionManager(baseUrl, pings, {createConnection});
  const transport = createConnectTransport({
    // Most messages are small and the network is local, so compression costs more than it saves.
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

/** Keeps one connection per address, created when first used. */
export class RpcClients {
  private readonly connections = new Map<string, PeerConnection>();

  /**
   * @param vmKey key that all VMs share
   */
  constructor(private readonly vmKey: string) {}

  /**
   * Returns the client of the VM at an address.
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

  /** Closes all connections. */
  close(): void {
    this.connections.forEach((connection) => connection.close());
    this.connections.clear();
  }
}
