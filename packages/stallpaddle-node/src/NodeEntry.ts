/**
 * The part of a process that serves callers: it brings their requests to engines and their jobs to the store.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {LogFields} from 'stallpaddle';
import type {FleetView, Hello} from 'stallpaddle-fleet';

import {errorMessage, generateId, RefusalError, refuse, unreachable} from 'stallpaddle';
import {
  type RelayCaller,
  type RelayContext,
  RelayDeadlines,
  type RelayDecision,
  RelayEngineHealth,
  RelayLatencies,
  RelayOnlineLoad,
  type RelayRequest,
  RelayRun,
  sendRefusal,
} from 'stallpaddle-relay';

import type {NodeCustomers} from './NodeCustomers';
import type {NodeFleet} from './NodeFleet';
import type {NodeLimits} from './NodeLimits';
import type {NodeOptions} from './NodeTypes';
import type {NodeWatch} from './NodeWatch';
import type {JobCall, RawAnswer} from './NodeWire';

import {drawEntries} from './NodeAddresses';
import {NodeAdmission} from './NodeAdmission';
import {ADDRESSES_MOST, CONFIG_AGAIN_MS, IDLE_MARGIN_MS} from './NodeConstants';
import {countEnd, exposeEntryMetrics} from './NodeEntryMetrics';
import {BodyTooLargeError, callOf, readBody, sendAnswer, startServer} from './NodeHttp';
import {NodeIntake} from './NodeIntake';
import {NodeJobCalls} from './NodeJobCalls';
import {NodeLog} from './NodeLog';
import {NodeRoutes} from './NodeRoutes';
import {makeSuspects} from './NodeSuspects';
import {NodeTells} from './NodeTells';

/** Time that a rested connection is kept before the first configuration, in milliseconds. */
const FIRST_IDLE_MS = 15_000;
/** Largest body before the first configuration, in bytes. */
const FIRST_BODY_BYTES = 4_194_304;
/** Age up to which what is known of the fleet makes a VM ready, in milliseconds. */
const READY_AGE_MS = 3_000;

/** Status of an answer that there is no such job. */
const NOT_FOUND = 404;

/** See the module's comment. */
export class NodeEntry {
  private readonly admission: NodeAdmission;
  private readonly context: RelayContext;
  private readonly intake: NodeIntake;
  private readonly jobCalls: NodeJobCalls;
  private readonly log: NodeLog;
  private readonly routes: NodeRoutes;
  private servers: readonly Server[] = [];
  private readonly tells: NodeTells;
  private readonly usual = new RelayDeadlines();

  /**
   * @param options what the process is made of
   * @param fleet the process's place in its fleet
   * @param customers who may send requests
   * @param limits how many of them
   */
  constructor(
    private readonly options: NodeOptions,
    private readonly fleet: NodeFleet,
    private readonly customers: NodeCustomers,
    limits: NodeLimits,
  ) {
    const {clock, loggers, settings, wire} = options;
    const {jobs, metrics, watch} = fleet;
    this.log = new NodeLog(loggers('entry'), clock, metrics);
    this.intake = new NodeIntake(clock, settings.bounds.grace);
    this.routes = new NodeRoutes(watch, this.log);
    this.admission = new NodeAdmission({
      customers,
      decide: (id, fields) => this.log.decide('overLimit', id, fields),
      limits,
    });
    const online = new RelayOnlineLoad(clock);
    this.tells = new NodeTells(jobs, online, generateId('e'), () => watch.view.news.entries.length);
    this.jobCalls = new NodeJobCalls(jobs, wire, this.log, clock);
    this.context = {
      clock,
      decide: (decision, id, fields) => this.decide(decision, id, fields),
      engineHealth: new RelayEngineHealth(clock),
      engines: () => watch.view.news.engines,
      latencies: new RelayLatencies(),
      online,
      random: Math.random,
      suspects: makeSuspects({
        clock,
        decide: (id, fields) => this.decide('suspected', id, fields),
        fleet,
        wire: wire.relay,
      }),
      viewAgeMs: () => watch.ageMs,
      wire: wire.relay,
      zone: settings.zone,
    };
  }

  /** What this part says of itself to the control group's leader. */
  hellos(): readonly Hello[] {
    const {callers, name, zone} = this.options.settings;
    return callers === null
      ? []
      : [{callerAddress: callers, kind: 'entry', name, ready: this.ready, zone}];
  }

  /**
   * Follows what is known of the fleet.
   *
   * @param view what is known now
   * @param before what was known before
   */
  onView(view: FleetView, before: FleetView): void {
    if (view.config !== null && view.config !== before.config) {
      this.routes.follow(view.config);
      this.customers.follow(view.config);
      this.followLimits();
      this.log.note('A configuration is in force.', {version: view.config.version});
    }
  }

  /** Begins to listen. */
  async open(): Promise<void> {
    const {callers, directory, ready} = this.options.settings;
    const servers: Promise<Server>[] = [];
    if (callers !== null) {
      const handler = (req: IncomingMessage, res: ServerResponse) => void this.handle(req, res);
      servers.push(startServer(callers, handler, FIRST_IDLE_MS + IDLE_MARGIN_MS));
    }
    for (const address of new Set([directory, ready].filter((other) => other !== null))) {
      servers.push(startServer(address, (req, res) => this.handlePlain(req, res), FIRST_IDLE_MS));
    }
    const {intake, watch} = this;
    const {latencies, online} = this.context;
    exposeEntryMetrics(this.fleet.metrics, {intake, online, pace: latencies, watch});
    this.servers = await Promise.all(servers);
    void this.tells.run();
  }

  /**
   * Takes no new callers, serves those that still come for as long as a request may take before the end,
   * then refuses what comes; resolves once nothing is under way.
   */
  async stop(): Promise<void> {
    this.intake.leave();
    void this.watch.ask(0);
    await this.intake.untilLastRequests();
    this.servers.forEach((server) => server.close());
    await this.intake.untilIdle();
    this.tells.stop();
  }

  private get watch(): NodeWatch {
    return this.fleet.watch;
  }

  private get ready(): boolean {
    return (
      !this.intake.isLeaving && this.watch.view.config !== null && this.watch.ageMs < READY_AGE_MS
    );
  }

  private decide(decision: RelayDecision, id: string, fields: LogFields): void {
    this.log.decide(decision, id, fields);
    if (decision === 'ended') {
      countEnd(this.fleet.metrics, fields);
    }
  }

  private followLimits(): void {
    const limits = this.watch.view.config?.limits;
    const [callers] = this.servers;
    if (limits !== undefined && callers !== undefined) {
      callers.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      callers.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS;
    }
  }

  /** Questions of the platform and of callers that look for a VM. */
  private handlePlain(req: IncomingMessage, res: ServerResponse): void {
    const {wire} = this.options;
    const call = callOf(req);
    req.resume();
    if (wire.isReadyQuestion(call)) {
      sendAnswer(res, {status: this.ready ? 200 : 503});
      return;
    }
    if (!wire.isAddressQuestion(call)) {
      sendAnswer(res, {status: 404});
      return;
    }
    const {entries} = this.watch.view.news;
    if (entries.length === 0) {
      sendAnswer(res, {status: 503});
      return;
    }
    const named = drawEntries(entries, ADDRESSES_MOST, Math.random);
    sendAnswer(res, wire.encodeAddresses(named));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.intake.isLeaving) {
      res.setHeader('connection', 'close');
    }
    // A caller that leaves while its answer is written is seen by whoever writes.
    res.on('error', () => {});
    await this.intake.count(async () => {
      try {
        await this.serve(req, res);
      } catch (err) {
        this.onFailure(req, res, err);
      }
    });
  }

  private onFailure(req: IncomingMessage, res: ServerResponse, err: unknown): void {
    if (err instanceof RefusalError) {
      sendRefusal(res, err);
    } else if (err instanceof BodyTooLargeError) {
      res.setHeader('connection', 'close');
      sendRefusal(res, refuse('bodyTooLarge', 'The body is longer than allowed.'));
    } else {
      this.log.note('A call broke off.', {error: errorMessage(err), url: req.url});
      res.destroy();
    }
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {clock, wire} = this.options;
    const arrivedAt = clock.monotonicMs();
    if (this.intake.isRefusing) {
      throw refuse('leaving', 'This VM stops.', {retryAfterMs: 0});
    }
    await this.customers.catchUp();
    const call = callOf(req);
    const jobCall = wire.readJobCall(call);
    if (jobCall !== null) {
      req.resume();
      sendAnswer(res, await this.carryOut(jobCall, req));
      return;
    }
    const most = this.watch.view.config?.limits.maxBodyBytes ?? FIRST_BODY_BYTES;
    const body = await readBody(req, most);
    const host = req.headers.host ?? '';
    const route = await this.routes.routeOf(host, call.url);
    const isOpen = (): boolean => (this.routes.find(host, call.url) ?? route).isPublic === true;
    const caller = await this.identify(req, isOpen);
    switch (route.kind) {
      case 'batch':
        sendAnswer(res, await this.jobCalls.submit(route, {...call, body}, caller));
        return;
      case 'nonRepeatable':
      case 'repeatable':
      case 'streaming': {
        const metadata = wire.relay.readCaller(req.headers);
        if (metadata === null) {
          throw refuse('badRequest', 'The request carries no name of its own.');
        }
        const {method, url} = call;
        const {rawHeaders} = req;
        const spentMs = this.usual.spentMs(route, metadata.deadlineMs);
        const request = {
          arrivedAt,
          body,
          caller,
          host,
          metadata,
          method,
          path: url,
          rawHeaders,
          route,
          spentMs,
        };
        await this.relay(request, res);
        return;
      }
      default:
        unreachable(route.kind);
    }
  }

  /** Brings a request to an engine, within its customer's limit. */
  private async relay(request: RelayRequest, res: ServerResponse): Promise<void> {
    const {caller, metadata} = request;
    await this.admission.admit(caller, metadata.requestId);
    if (res.destroyed) {
      // Its caller left meanwhile.
      this.admission.giveBack(caller);
      return;
    }
    const run = new RelayRun(this.context, request, res);
    await run.run();
    if (run.neverRan) {
      this.admission.giveBack(caller);
    }
  }

  private async identify(req: IncomingMessage, isOpen: () => boolean): Promise<RelayCaller> {
    try {
      return await this.customers.identify(this.options.wire.readKey(req.headers), isOpen);
    } catch (err) {
      this.log.decide('notIdentified', String(req.headers.host), {
        reason: errorMessage(err),
        version: this.watch.view.config?.version,
        viewAgeMs: Math.round(this.watch.ageMs),
      });
      throw err;
    }
  }

  /** That a job isn't there is told by the latest keys only: a key may have gone to another customer. */
  private async carryOut(call: JobCall, req: IncomingMessage): Promise<RawAnswer> {
    const host = req.headers.host ?? '';
    const isOpen = (): boolean => this.routes.takesJobsOfAnybody(host);
    const caller = await this.identify(req, isOpen);
    const answer = await this.jobCalls.carryOut(call, caller);
    if (answer.status !== NOT_FOUND || caller.kind !== 'customer') {
      return answer;
    }
    if (!(await this.watch.confirm())) {
      throw refuse('stale', 'The latest keys are not known now.', {retryAfterMs: CONFIG_AGAIN_MS});
    }
    const latest = await this.identify(req, isOpen);
    const isSame = latest.kind === 'customer' && latest.name === caller.name;
    return isSame ? answer : this.jobCalls.carryOut(call, latest);
  }
}
