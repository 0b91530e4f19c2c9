/**
 * A link between two processes under a test's control: so many bytes a millisecond, and silent when the test says so.
 */
import {connect, createServer, type Socket} from 'node:net';

/** Where a link lies. */
export interface SlowLinkOptions {
  /** What each connection carries each way, in bytes a millisecond; as much as the machine does when left out. */
  readonly bytesPerMs?: number;
  readonly host: string;
  readonly port: number;
  /** Port of the same host to which it leads. */
  readonly target: number;
}

/** See the module's comment. */
export class SlowLink {
  /** While true, bytes are lost and nothing is closed, as on a cut link. */
  silent = false;
  private readonly server = createServer((near) => this.join(near));
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: SlowLinkOptions) {}

  /**
   * Opens a link.
   *
   * @param options where it lies
   */
  static async open(options: SlowLinkOptions): Promise<SlowLink> {
    const link = new SlowLink(options);
    const {host, port} = options;
    await new Promise<void>((resolve) => link.server.listen(port, host, resolve));
    return link;
  }

  /** Ends all connections. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private join(near: Socket): void {
    const {host, target} = this.options;
    const far = connect(target, host);
    this.carry(near, far);
    this.carry(far, near);
  }

  private carry(from: Socket, to: Socket): void {
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
