/** Closing an HTTP server without cutting off its responses. */
import type {Server, ServerResponse} from 'node:http';

import {Server as TcpServer} from 'node:net';

/**
 * Tracks the responses of an HTTP server. Node closes every connection whose response has ended, also while its last bytes
 * wait for a slow reader, and serves further requests on connections that were busy when the server was closed.
 */
export class DrainableServer {
  private isClosing = false;
  private readonly responses = new Set<ServerResponse>();

  /**
   * @param server the HTTP server, before its first request
   */
  constructor(private readonly server: Server) {
    server.prependListener('request', (_, res) => this.track(res));
  }

  /** Number of responses that have not been sent in full. */
  get unsentResponses(): number {
    return this.responses.size;
  }

  /**
   * Stops listening. Connections are closed once they are idle; a request that arrives before that is the last one of its
   * connection.
   */
  close(): void {
    if (this.isClosing) {
      return;
    }
    this.isClosing = true;
    // The method of the HTTP server would also close connections with unsent bytes.
    TcpServer.prototype.close.call(this.server);
    this.responses.forEach((res) => {
      res.shouldKeepAlive = false;
    });
    this.closeIdle();
  }

  /** Closes idle connections, unless a response that has ended is still being sent: Node counts its connection as idle. */
  closeIdle(): void {
    const isSending = [...this.responses].some(({writableEnded}) => writableEnded);
    if (!isSending) {
      this.server.closeIdleConnections();
    }
  }

  private track(res: ServerResponse): void {
    this.responses.add(res);
    if (this.isClosing) {
      res.shouldKeepAlive = false;
    }
    res.once('close', () => {
      this.responses.delete(res);
      if (this.isClosing) {
        this.closeIdle();
      }
    });
  }
}
