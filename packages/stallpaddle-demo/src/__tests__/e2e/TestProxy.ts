/**
 * A TCP proxy that can interrupt connections.
 */
import {connect, createServer, type Socket} from 'node:net';

/** Address of the proxy or its target. */
export interface ProxyAddress {
  readonly host: string;
  readonly port: number;
}

/** Forwards TCP connections to one address, or closes them while it is disconnected. */
export class TestProxy {
  private disconnected = false;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((inbound) => this.forward(inbound));

  /**
   * @param target address that connections are forwarded to
   */
  constructor(private readonly target: ProxyAddress) {}

  /** Listens on the address. */
  async start({host, port}: ProxyAddress): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  /** Closes all connections, and new ones at once until {@link reconnect}. */
  disconnect(): void {
    this.disconnected = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Forwards new connections again. */
  reconnect(): void {
    this.disconnected = false;
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    this.disconnect();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private forward(inbound: Socket): void {
    if (this.disconnected) {
      inbound.destroy();
      return;
    }
    const outbound = connect(this.target.port, this.target.host);
    for (const [socket, other] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      this.sockets.add(socket);
      socket.on('error', () => other.destroy());
      socket.on('close', () => {
        this.sockets.delete(socket);
        other.destroy();
      });
    }
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  }
}
