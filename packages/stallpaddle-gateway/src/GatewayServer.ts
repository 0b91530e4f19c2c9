/**
 * HTTP server for callers and operators.
 */
import type {Server} from 'node:http';
import type {RefusalError} from 'stallpaddle';

import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {DrainableServer, errorMessage, refuse} from 'stallpaddle';
import {modelNames} from 'stallpaddle-control';
import {ADDRESSES_TTL_MS, addressesFor} from 'stallpaddle-membership';

import type {GatewayContext} from './GatewayContext';

import {GatewayAdmin} from './GatewayAdmin';
import {GatewayAuth} from './GatewayAuth';
import {GatewayBatches} from './GatewayBatches';
import {CHAT_PATH, GatewayChat} from './GatewayChat';
import {GatewayFiles} from './GatewayFiles';
import {sendJson, sendRefusal, toRefusal} from './GatewayHttp';
import {GatewayOnlineForwarder} from './GatewayOnlineForwarder';
import {GatewayServices, SERVICES_PREFIX} from './GatewayServices';

const MAX_HEADER_BYTES = 16_384;
const KEEP_ALIVE_MS = 10_000;
/** Longest time for draining the rest of a refused request's body, in milliseconds. */
const DRAIN_TIMEOUT_MS = 2_000;

type Handler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>;

interface Route {
  readonly handler: Handler;
  readonly name: string;
}

function urlOf(req: IncomingMessage): URL {
  const url = URL.parse(req.url ?? '/', 'http://vm');
  if (url === null) {
    throw refuse('badRequest', 'the request path is not a valid URL');
  }
  return url;
}

/**
 * Drains the unread rest of a request body for a limited time. Closing at once would reset the connection, and the
 * caller might never receive the refusal.
 */
function drainRequestBody(req: IncomingMessage): void {
  const timer = setTimeout(() => req.destroy(), DRAIN_TIMEOUT_MS);
  req.on('close', () => clearTimeout(timer));
  req.resume();
}

/** Authenticates, routes and counts the HTTP requests of one VM. */
export class GatewayServer {
  private readonly admin: GatewayAdmin;
  private readonly auth: GatewayAuth;
  private readonly batches: GatewayBatches;
  private readonly chat: GatewayChat;
  private readonly files: GatewayFiles;
  private readonly online: GatewayOnlineForwarder;
  private open = 0;
  private readonly drainable: DrainableServer;
  private readonly server: Server;
  private readonly services: GatewayServices;

  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {
    this.auth = new GatewayAuth(context);
    this.online = new GatewayOnlineForwarder(context);
    this.chat = new GatewayChat(context, this.online);
    this.services = new GatewayServices(context, this.online);
    this.files = new GatewayFiles(context);
    this.batches = new GatewayBatches(context);
    this.admin = new GatewayAdmin(context, this.batches, this.files);
    const {connections, sendMs} = context.limits;
    this.server = createServer({
      headersTimeout: sendMs,
      keepAliveTimeout: KEEP_ALIVE_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
    });
    this.server.maxConnections = connections;
    this.drainable = new DrainableServer(this.server);
    this.server.on('request', (req, res) => void this.handle(req, res));
    const {metrics} = context;
    metrics.exposeGauge('stallpaddle_open_requests', 'Open requests.', () => this.open);
    metrics.exposeGauge(
      'stallpaddle_queued_requests',
      'Waiting requests.',
      () => this.online.waiting,
    );
  }

  /** Number of requests in progress, with those whose response is being sent. */
  get openRequests(): number {
    return Math.max(this.open, this.drainable.unsentResponses);
  }

  /**
   * Starts listening.
   *
   * @param host IP address
   * @param port TCP port
   */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Closes idle connections; requests in progress continue. */
  closeIdle(): void {
    this.drainable.closeIdle();
  }

  /** Closes all connections and the server. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.open++;
    let route = 'unknown';
    let code = 'ok';
    try {
      const url = urlOf(req);
      const found = this.routeOf(req.method ?? '', url.pathname.split('/').slice(1));
      route = found.name;
      if (this.isLeaving()) {
        res.setHeader('connection', 'close');
      }
      await found.handler(req, res, url);
    } catch (err) {
      const refusal = toRefusal(err);
      code = refusal.code;
      if (refusal.code === 'internal') {
        this.context.logger.error('A request failed.', {reason: errorMessage(err), route});
      }
      this.respondWithRefusal(req, res, refusal);
    } finally {
      this.open--;
      this.context.metrics.countRequest(route, code);
    }
  }

  private respondWithRefusal(
    req: IncomingMessage,
    res: ServerResponse,
    refusal: RefusalError,
  ): void {
    if (!req.complete) {
      drainRequestBody(req);
    }
    const {code} = refusal;
    const shouldRedirect = code === 'leaving' || code === 'stale';
    if (shouldRedirect && !res.headersSent) {
      const {clock, membership, vm} = this.context;
      const alternatives = addressesFor(membership(), vm, this.context.zone, clock.monotonicMs());
      res.setHeader(
        'x-stallpaddle-addresses',
        alternatives.map(({host, port}) => `${host}:${port}`).join(','),
      );
    }
    sendRefusal(res, refusal);
  }

  private isLeaving(): boolean {
    return this.context.refusal()?.code === 'leaving';
  }

  private assertAcceptsNewWork(): void {
    const refusal = this.context.refusal();
    if (refusal !== undefined) {
      throw refusal;
    }
  }

  private routeOf(method: string, path: readonly string[]): Route {
    const [root] = path;
    switch (root) {
      case 'addresses':
      case 'healthz':
      case 'metrics':
        return this.publicRoute(method, root);
      case 'admin':
        return this.adminRoute(method, path.slice(1));
      case 'services':
        return {handler: (req, res) => this.callService(req, res), name: SERVICES_PREFIX};
      case 'v1':
        return this.customerRoute(method, path.slice(1));
      case undefined:
      default:
        throw refuse('notFound', 'no such path');
    }
  }

  private publicRoute(method: string, root: 'addresses' | 'healthz' | 'metrics'): Route {
    if (method !== 'GET') {
      throw refuse('notFound', `${root} supports GET only`);
    }
    const {metrics, refusal} = this.context;
    switch (root) {
      case 'addresses':
        return {handler: (req, res, url) => this.sendAddresses(req, res, url), name: root};
      case 'healthz':
        return {
          handler: async (_req, res) => {
            const reason = refusal();
            sendJson(res, reason === undefined ? 200 : 503, {
              ready: reason === undefined,
              reason: reason?.message,
            });
          },
          name: root,
        };
      case 'metrics':
        return {
          handler: async (_req, res) => {
            res.writeHead(200, {'content-type': metrics.contentType});
            res.end(await metrics.text());
          },
          name: root,
        };
    }
  }

  private async sendAddresses(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const {clock, membership} = this.context;
    const caller = req.socket.remoteAddress ?? '';
    const zone = url.searchParams.get('zone') ?? undefined;
    const orderKey = url.searchParams.get('caller') ?? caller;
    const addresses = addressesFor(membership(), orderKey, zone, clock.monotonicMs());
    res.setHeader('cache-control', `max-age=${Math.floor(ADDRESSES_TTL_MS / 1000)}`);
    sendJson(res, 200, {addresses, lifetimeMs: ADDRESSES_TTL_MS});
  }

  private async callService(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const caller = this.auth.customerOf(req);
    this.assertAcceptsNewWork();
    await this.services.handle(caller, req, res);
  }

  private customerRoute(method: string, path: readonly string[]): Route {
    const [collection = '', id = '', part] = path;
    const name = `${method} /v1/${collection}${id === '' ? '' : '/ID'}${part === undefined ? '' : `/${part}`}`;
    const route = (
      startsWork: boolean,
      run: (
        caller: ReturnType<GatewayAuth['customerOf']>,
        req: IncomingMessage,
        res: ServerResponse,
      ) => Promise<void>,
    ): Route => ({
      handler: async (req, res) => {
        const caller = this.auth.customerOf(req);
        if (startsWork) {
          this.assertAcceptsNewWork();
        }
        await run(caller, req, res);
      },
      name,
    });
    const {ledger} = this.context;
    switch (name) {
      case `POST /v1/chat/ID`:
        if (`/v1/chat/${id}` === CHAT_PATH) {
          return route(true, (caller, req, res) => this.chat.handle(caller, req, res));
        }
        break;
      case 'GET /v1/batches':
        return route(false, (caller, _req, res) => this.batches.list(caller, res));
      case 'GET /v1/batches/ID':
        return route(false, (caller, _req, res) => this.batches.show(caller, id, res));
      case 'GET /v1/files':
        return route(false, (caller, _req, res) => this.files.list(caller, res));
      case 'GET /v1/files/ID':
        return route(false, (caller, _req, res) => this.files.show(caller, id, res));
      case 'GET /v1/files/ID/content':
        return route(false, ({customer}, _req, res) =>
          this.files.content(customer, ledger.forCustomer(customer), id, res),
        );
      case 'GET /v1/models':
        return route(false, (_caller, _req, res) => this.sendModels(res));
      case 'POST /v1/batches':
        return route(true, (caller, req, res) => this.batches.create(caller, req, res));
      case 'POST /v1/batches/ID/cancel':
        return route(false, ({customer}, _req, res) =>
          this.batches.cancel(customer, ledger.forCustomer(customer), id, res),
        );
      case 'POST /v1/files':
        return route(true, (caller, req, res) => this.files.upload(caller, req, res));
      default:
        break;
    }
    throw refuse('notFound', `no such path: ${method} /v1/${path.join('/')}`);
  }

  private async sendModels(res: ServerResponse): Promise<void> {
    const data = modelNames(this.context.config()).map((id) => ({
      created: 0,
      id,
      object: 'model',
      owned_by: 'stallpaddle',
    }));
    sendJson(res, 200, {data, object: 'list'});
  }

  private adminRoute(method: string, path: readonly string[]): Route {
    const [collection = '', id = '', part] = path;
    const name = `${method} /admin/${collection}${id === '' ? '' : '/ID'}${part === undefined ? '' : `/${part}`}`;
    const route = (
      run: (operator: string, req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>,
    ): Route => ({
      handler: async (req, res, url) => run(this.auth.operatorOf(req), req, res, url),
      name,
    });
    switch (name) {
      case 'GET /admin/audit':
        return route((_operator, _req, res, url) => this.admin.audit(url.searchParams, res));
      case 'GET /admin/files/ID/content':
        return route((_operator, _req, res) => this.admin.fileContent(id, res));
      case 'GET /admin/jobs':
        return route((_operator, _req, res) => this.admin.jobs(res));
      case 'GET /admin/plans/ID':
        return route((_operator, _req, res) => this.admin.showPlan(id, res));
      case 'GET /admin/status':
        return route((_operator, _req, res) => this.admin.status(res));
      case 'POST /admin/jobs/ID/cancel':
        return route((operator, _req, res) => this.admin.cancelJob(operator, id, res));
      case 'POST /admin/plans':
        return route((operator, req, res) => this.admin.plan(operator, req, res));
      case 'POST /admin/plans/ID/confirm':
        return route((operator, _req, res) => this.admin.confirm(operator, id, res));
      default:
        throw refuse('notFound', `no such path: ${method} /admin/${path.join('/')}`);
    }
  }
}
