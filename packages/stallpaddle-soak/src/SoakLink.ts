/**
 * Stands before the port on which a VM takes the calls of others: passes bytes on, late or not at all, or resets.
 */
import {connect, createServer, type Socket} from 'node:net';

/** Where a link lies. */
export interface SoakLinkOptions {
  readonly host: string;
  /** Port that others call. */
  readonly port: number;
  /** Port on which the VM listens. */
  readonly target: number;
}

/** See the module's comment. */
export class SoakLink {
  /** Time by which bytes come late, in milliseconds. */
  delayMs = 0;
  /** Whether the VM's answers are lost. */
  losesAnswers = false;
  /** Whether what is sent to the VM is lost. */
  losesCalls = false;
  private readonly server = createServer({allowHalfOpen: false}, (near) => this.join(near));
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: SoakLinkOptions) {}

  /**
   * Opens a link.
   *
   * @param options where it lies
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

  /** Ends the link. */
  close(): void {
    this.reset();
    this.server.close();
  }

  private join(near: Socket): void {
    const far = connect(this.options.target, this.options.host);
    this.carry(near, far, () => this.losesCalls);
    this.carry(far, near, () => this.losesAnswers);
  }

  private carry(from: Socket, to: Socket, isLost: () => boolean): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (bytes) => {
      if (!isLost()) {
        this.pass(from, to, bytes);
      }
    });
    from.on('error', () => {});
    from.on('close', (hadError) => {
      this.sockets.delete(from);
      // On a cut link nobody learns that the other side is gone.
      if (isLost()) {
        return;
      }
      if (hadError) {
        to.resetAndDestroy();
      } else {
        to.destroySoon();
      }
    });
  }

  private pass(from: Socket, to: Socket, bytes: Buffer): void {
    if (this.delayMs === 0) {
      if (!to.write(bytes)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
      return;
    }
    // Bytes keep their order: nothing is read before what came is passed on.
    from.pause();
    setTimeout(() => {
      to.write(bytes);
      from.resume();
    }, this.delayMs);
  }
}
