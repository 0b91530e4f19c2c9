/** A TCP proxy with limited bandwidth for tests. */
import {connect, createServer, type Socket} from 'node:net';

/** Addresses and bandwidth of a link. */
export interface SlowLinkOptions {
  /** Bandwidth of each connection in each direction, in bytes per millisecond; unlimited by default. */
  readonly bytesPerMs?: number;
  readonly host: string;
  readonly port: number;
  /** Port of the same host to which connections are forwarded. */
  readonly target: number;
}

/** Forwards connections with a limited bandwidth, and drops all bytes while a test sets `silent`. */
export class SlowLink {
  /** While true, bytes are dropped and connections stay open, as in a network partition. */
  silent = false;
  private readonly server = createServer((client) => this.accept(client));
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: SlowLinkOptions) {}

  /**
   * Starts to listen.
   *
   * @param options addresses and bandwidth
   */
  static async open(options: SlowLinkOptions): Promise<SlowLink> {
    const link = new SlowLink(options);
    const {host, port} = options;
    await new Promise<void>((resolve) => link.server.listen(port, host, resolve));
    return link;
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private accept(client: Socket): void {
    const {host, target} = this.options;
    const upstream = connect(target, host);
    this.forward(client, upstream);
    this.forward(upstream, client);
  }

  private forward(from: Socket, to: Socket): void {
    const {bytesPerMs = Infinity} = this.options;
    this.sockets.add(from);
    from.on('data', (bytes) => {
      from.pause();
      setTimeout(() => {
        if (!this.silent) {
          to.write(bytes);
        }
        from.resume();
      }, bytes.length / bytesPerMs);
    });
    from.on('error', () => {});
    from.on('close', () => to.destroy());
  }
}
