/** TCP proxy in front of the peer port of a VM. */
import {connect, createServer, type Socket} from 'node:net';

/** Addresses of a link. */
export interface SoakLinkOptions {
  readonly host: string;
  /** Port to which other processes connect. */
  readonly port: number;
  /** Port on which the VM listens. */
  readonly target: number;
}

/** Forwards bytes between other processes and a VM; can delay them, drop them or reset all connections. */
export class SoakLink {
  /** Delay of each chunk, in milliseconds. */
  delayMs = 0;
  /** Whether bytes from the VM are dropped. */
  dropsResponses = false;
  /** Whether bytes to the VM are dropped. */
  dropsRequests = false;
  private readonly server = createServer({allowHalfOpen: false}, (client) => this.accept(client));
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: SoakLinkOptions) {}

  /**
   * Starts to listen.
   *
   * @param options addresses of the link
   */
  static async open(options: SoakLinkOptions): Promise<SoakLink> {
    const link = new SoakLink(options);
    await new Promise<void>((resolve, reject) => {
      link.server.once('error', reject);
      link.server.listen(options.port, options.host, resolve);
    });
    return link;
  }

  /** Resets all connections. */
  reset(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Resets all connections and stops listening. */
  close(): void {
    this.reset();
    this.server.close();
  }

  private accept(client: Socket): void {
    const upstream = connect(this.options.target, this.options.host);
    this.forward(client, upstream, () => this.dropsRequests);
    this.forward(upstream, client, () => this.dropsResponses);
  }

  private forward(from: Socket, to: Socket, isDropped: () => boolean): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (bytes) => {
      if (!isDropped()) {
        this.write(from, to, bytes);
      }
    });
    from.on('error', () => {});
    from.on('close', (hadError) => {
      this.sockets.delete(from);
      // While bytes are dropped, the other side must not see the close either.
      if (isDropped()) {
        return;
      }
      if (hadError) {
        to.resetAndDestroy();
      } else {
        to.destroySoon();
      }
    });
  }

  private write(from: Socket, to: Socket, bytes: Buffer): void {
    if (this.delayMs === 0) {
      if (!to.write(bytes)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
      return;
    }
    // Pausing keeps the order: nothing more is read before this chunk is forwarded.
    from.pause();
    setTimeout(() => {
      to.write(bytes);
      from.resume();
    }, this.delayMs);
  }
}
