/** A fake engine in trouble: sends bytes that are no answer until its caller closes the connection. */
import type {AddressInfo, Server, Socket} from 'node:net';

import {createServer} from 'node:net';

import {PLAIN} from './PlainWire';

/** Bytes of a response: those before the flood, and those that are repeated without end. */
export interface Flood {
  readonly before: string;
  /** Pause between two repetitions, in milliseconds; 0 sends as fast as the caller reads. */
  readonly pauseMs?: number;
  readonly repeated: string;
}

/** Repetitions that are written together. */
const REPETITIONS = 4_096;

/**
 * Head of a response to a request, signed as by a sound engine.
 *
 * @param requestId id of the request
 * @param lines further header lines
 */
export function signedHead(requestId: string, ...lines: readonly string[]): string {
  const own = [`${PLAIN.request}: ${requestId}`, `${PLAIN.signature}: s`];
  return ['HTTP/1.1 200 OK', ...own, ...lines, '', ''].join('\r\n');
}

/** Responds to each connection with the same flood. */
export class FloodEngine {
  /** Connections that callers have opened. */
  connections = 0;
  private readonly open = new Set<Socket>();
  private sent = 0;

  private constructor(
    private readonly server: Server,
    /** IP address and port. */
    readonly address: string,
  ) {}

  /**
   * Starts an engine on a free port.
   *
   * @param flood what it sends
   */
  static async start(flood: Flood): Promise<FloodEngine> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const engine = new FloodEngine(server, address);
    server.on('connection', (socket) => engine.serve(socket, flood));
    return engine;
  }

  /** Connections that are still open. */
  get openConnections(): number {
    return this.open.size;
  }

  /** Bytes sent on all connections. */
  get sentBytes(): number {
    return this.sent;
  }

  /** Closes all connections. */
  stop(): void {
    this.open.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private serve(socket: Socket, {before, pauseMs = 0, repeated}: Flood): void {
    this.connections++;
    this.open.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.open.delete(socket));
    const bytes = Buffer.from(pauseMs > 0 ? repeated : repeated.repeat(REPETITIONS));
    const flood = (): void => {
      if (socket.destroyed) {
        return;
      }
      this.sent += bytes.length;
      const isFlowing = socket.write(bytes);
      if (pauseMs > 0) {
        setTimeout(flood, pauseMs);
      } else if (isFlowing) {
        setImmediate(flood);
      } else {
        socket.once('drain', flood);
      }
    };
    socket.once('data', () => {
      socket.write(before);
      flood();
    });
  }
}
