/**
 * A TCP proxy whose connections a test can cut.
 */
import {connect, createServer, type Socket} from 'node:net';

/** Where connections come in or go to. */
export interface ProxyAddress {
  readonly host: string;
  readonly port: number;
}

/** See the module's comment. */
export class TestProxy {
  private cut = false;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((inbound) => this.take(inbound));

  /**
   * @param to where connections go
   */
  constructor(private readonly to: ProxyAddress) {}

  /** Starts to listen. */
  async start({host, port}: ProxyAddress): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  /** Cuts all connections; new ones are refused until {@link heal}. */
  cutOff(): void {
    this.cut = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Lets connections through again. */
  heal(): void {
    this.cut = false;
  }

  /** Ends the proxy. */
  async stop(): Promise<void> {
    this.cutOff();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private take(inbound: Socket): void {
    if (this.cut) {
      inbound.destroy();
      return;
    }
    const outbound = connect(this.to.port, this.to.host);
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
