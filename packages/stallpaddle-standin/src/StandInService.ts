/**
 * Simulated backend service, for demos and tests only.
 */
import type {ServiceStandInSettings} from 'stallpaddle-settings';

import {createServer, type Server} from 'node:http';

import {closeServer, listen, sendJson} from './StandInHttp';

/** Echoes each request and counts how often each body was received. */
export class StandInService {
  private readonly executions = new Map<string, number>();
  private readonly server: Server;

  /**
   * @param settings name and address of the service
   */
  constructor(private readonly settings: ServiceStandInSettings) {
    this.server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        if (req.url === '/executions') {
          sendJson(res, 200, {executions: Object.fromEntries(this.executions)});
          return;
        }
        const body = Buffer.concat(chunks).toString();
        const runs = (this.executions.get(body) ?? 0) + 1;
        this.executions.set(body, runs);
        sendJson(res, 200, {body, path: req.url, runs, service: settings.name});
      });
    });
  }

  /** Starts the server. */
  async start(): Promise<void> {
    await listen(this.server, this.settings.listen);
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    await closeServer(this.server);
  }
}
