/** Number of open connections of servers. */
import type {Server} from 'node:http';

/** Counts the open connections of servers without asking the system. */
export class NodeConnections {
  private current = 0;

  /** Number of connections that are open. */
  get open(): number {
    return this.current;
  }

  /**
   * Counts the connections of a server from now on.
   *
   * @param server the server
   */
  count(server: Server): void {
    server.on('connection', (socket) => {
      this.current++;
      socket.once('close', () => this.current--);
    });
  }
}
