/** A fake engine that stops in the middle of its response and closes the connection. */
import type {AddressInfo, Server, Socket} from 'node:net';

import {createServer} from 'node:net';

/** How an engine closes a connection. */
export type CutKind = 'end' | 'reset';

/** Sends the first bytes of a response on each connection, and then closes it. */
export class CutEngine {
  private readonly open = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    /** IP address and port. */
    readonly address: string,
  ) {}

  /**
   * Starts an engine on a free port.
   *
   * @param respond returns what it sends of its response to a request
   * @param kind how it closes the connection afterwards
   */
  static async start(respond: (request: string) => string, kind: CutKind): Promise<CutEngine> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const engine = new CutEngine(server, address);
    server.on('connection', (socket) => engine.serve(socket, respond, kind));
    return engine;
  }

  /** Closes all connections. */
  stop(): void {
    this.open.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private serve(socket: Socket, respond: (request: string) => string, kind: CutKind): void {
    this.open.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.open.delete(socket));
    socket.once('data', (request) => {
      const bytes = respond(request.toString());
      switch (kind) {
        case 'end':
          socket.end(bytes);
          return;
        case 'reset':
          // The bytes leave before the reset, which discards what is still to be sent.
          socket.write(bytes, () => setImmediate(() => socket.resetAndDestroy()));
          return;
      }
    });
  }
}
