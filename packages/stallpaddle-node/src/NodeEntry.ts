/** Component of a process that serves callers. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {LogFields} from 'stallpaddle';
import type {EngineView, Feature, FleetHeartbeat, FleetView} from 'stallpaddle-fleet';

import {errorMessage, generateId, RefusalError, refuse, unreachable} from 'stallpaddle';
import {
  type DisconnectReason,
  RelayAdmission,
  type RelayCaller,
  type RelayContext,
  RelayDeadlines,
  type RelayDecision,
  RelayEngineHealth,
  RelayFleetLoad,
  RelayLatencies,
  RelayOnlineLoad,
  type RelayRequest,
  RelayRun,
  RelaySpeeds,
  RelayStarts,
  sendRefusal,
} from 'stallpaddle-relay';

import type {NodeCustomers} from './NodeCustomers';
import type {NodeFleet} from './NodeFleet';
import type {NodeLimits} from './NodeLimits';
import type {NodeStreams} from './NodeStreams';
import type {NodeOptions} from './NodeTypes';
import type {NodeWatch} from './NodeWatch';
import type {JobCall, RawResponse} from './NodeWire';

import {NodeAdmission} from './NodeAdmission';
import {NodeCapacity} from './NodeCapacity';
import {NodeConnections} from './NodeConnections';
import {CONFIG_RETRY_AFTER_MS, IDLE_MARGIN_MS} from './NodeConstants';
import {NodeDrainState} from './NodeDrainState';
import {countEnd, countNotResumed, countWait, exposeEntryMetrics} from './NodeEntryMetrics';
import {
  BodyTooLargeError,
  type ListeningServer,
  readBody,
  requestHead,
  sendResponse,
  startServer,
} from './NodeHttp';
import {NodeJobCalls} from './NodeJobCalls';
import {NodeLog} from './NodeLog';
import {NodeOnlineReporter} from './NodeOnlineReporter';
import {NodeRoutes} from './NodeRoutes';
import {NodeRunTimes} from './NodeRunTimes';
import {largestCounts} from './NodeShareMetrics';
import {NodeShares} from './NodeShares';
import {makeSuspects} from './NodeSuspects';

/** Idle timeout of a connection before the first configuration, in milliseconds. */
const DEFAULT_IDLE_MS = 15_000;
/** Largest body before the first configuration, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Oldest fleet status with which a VM is ready, in milliseconds. */
const READY_MAX_AGE_MS = 3_000;

/** Status of an answer for an unknown job. */
const NOT_FOUND = 404;

/** Serves callers: sends their requests to engines, forwards their job calls, and answers lookups of entry VMs. */
export class NodeEntry {
  private readonly admission: NodeAdmission;
  private readonly capacity: NodeCapacity;
  private readonly context: RelayContext;
  private readonly drainState: NodeDrainState;
  private readonly jobCalls: NodeJobCalls;
  private readonly log: NodeLog;
  private readonly routes: NodeRoutes;
  private servers: readonly ListeningServer[] = [];
  private readonly reporter: NodeOnlineReporter;
  private readonly connections = new NodeConnections();
  private readonly shares: NodeShares;
  private readonly deadlines = new RelayDeadlines();
  private readonly runTimes = new NodeRunTimes();

  /**
   * @param options dependencies of the process
   * @param fleet connections to the fleet and its status
   * @param customers identifies callers
   * @param limits the customers' rate limits
   * @param streams remembers the software that began streams
   */
  constructor(
    private readonly options: NodeOptions,
    private readonly fleet: NodeFleet,
    private readonly customers: NodeCustomers,
    limits: NodeLimits,
    private readonly streams: NodeStreams,
  ) {
    const {clock, current, loggers, settings, wire} = options;
    const {jobs, metrics, watch} = fleet;
    this.log = new NodeLog(loggers('entry'), clock, metrics);
    this.drainState = new NodeDrainState(clock, settings.bounds.grace);
    this.routes = new NodeRoutes(watch, this.log);
    this.admission = new NodeAdmission({
      customers,
      decide: (id, fields) => this.log.decide('overLimit', id, fields),
      limits,
    });
    const online = new RelayOnlineLoad(clock);
    const fleetLoad = new RelayFleetLoad(clock);
    const engines = (): readonly EngineView[] => watch.view.news.engines;
    const isOn = (feature: Feature): boolean => current.isOn(feature, watch.view);
    const speeds = new RelaySpeeds({clock, engines, isOn: () => isOn('engineSpeeds')});
    this.shares = new NodeShares({
      clock,
      customers,
      decide: (id, fields) => this.log.decide('overShare', id, fields),
      fleetLoad,
      host: settings.host,
      isOn,
      waiting: () => this.context.admission.waitingByCustomer(),
    });
    this.reporter = new NodeOnlineReporter(
      jobs,
      online,
      generateId('e'),
      () => watch.view.news.entries.length,
      {
        onAnswer: (answer) => {
          speeds.onAnswer();
          fleetLoad.apply(answer, answer.isAll);
        },
        read: (isAnswered) => ({...speeds.read(isAnswered), ...this.shares.reportDetails()}),
      },
    );
    this.capacity = new NodeCapacity({
      clock,
      current,
      name: settings.name,
      note: (message, fields) => this.log.note(message, fields),
      onDisconnect: (res, reason, heldBytes) => this.onDisconnect(res, reason, heldBytes),
      openDescriptors: () => this.connections.open + this.drainState.openRequests,
      watch,
    });
    this.jobCalls = new NodeJobCalls(jobs, wire, this.log, clock);
    this.context = {
      admission: new RelayAdmission({
        aboveShare: () => this.shares.aboveShare(),
        clock,
        decide: (decision, id, fields) => this.decide(decision, id, fields),
        fleetLoad,
        online,
        priorityOf: (customer) => customers.find(customer)?.priority ?? null,
        random: Math.random,
      }),
      clock,
      decide: (decision, id, fields) => this.decide(decision, id, fields),
      engineHealth: new RelayEngineHealth(clock),
      engines,
      fleetLoad,
      held: this.capacity.held,
      isOn,
      latencies: new RelayLatencies(),
      online,
      random: Math.random,
      speeds,
      starts: new RelayStarts(wire.relay),
      streams,
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

  /**
   * Writes a line to the log of this component.
   *
   * @param message one sentence
   * @param fields structured fields of the line
   */
  note(message: string, fields: LogFields): void {
    this.log.note(message, fields);
  }

  /** Heartbeats of this component. */
  heartbeats(): readonly FleetHeartbeat[] {
    const {callers, name, zone} = this.options.settings;
    return callers === null
      ? []
      : [
          {
            callerAddress: callers,
            capacity: this.capacity.report(),
            kind: 'entry',
            name,
            ready: this.ready,
            zone,
          },
        ];
  }

  /**
   * Applies a change of the fleet status.
   *
   * @param view the new status
   * @param before the previous status
   */
  onView(view: FleetView, before: FleetView): void {
    if (view.config !== null && view.config !== before.config) {
      this.routes.applyConfig(view.config);
      this.customers.applyConfig(view.config);
      this.applyConnectionLimits();
      this.log.note('A configuration is in force.', {version: view.config.version});
    }
    if (view.news.engines !== before.news.engines) {
      this.context.admission.wake();
    }
  }

  /** Starts the servers and the reports to the dispatcher. */
  async open(): Promise<void> {
    const {callers, directory, ready} = this.options.settings;
    const servers: Promise<ListeningServer>[] = [];
    if (callers !== null) {
      const handler = (req: IncomingMessage, res: ServerResponse) => void this.handle(req, res);
      servers.push(startServer(callers, handler, DEFAULT_IDLE_MS + IDLE_MARGIN_MS));
    }
    for (const address of new Set([directory, ready].filter((other) => other !== null))) {
      servers.push(
        startServer(address, (req, res) => this.handleLookup(req, res), DEFAULT_IDLE_MS),
      );
    }
    const {drainState, watch} = this;
    const {admission, latencies, online} = this.context;
    exposeEntryMetrics(this.fleet.metrics, {
      admission,
      drainState,
      latencies,
      online,
      streamRecords: () => this.streams.size,
      watch,
    });
    this.capacity.exposeMetrics(this.fleet.metrics);
    const help = 'Requests rejected because their customer was above its share.';
    this.fleet.metrics.exposeLabelledGauge('stallpaddle_share_rejections', help, 'customer', () =>
      Object.entries(largestCounts(this.shares.rejected)),
    );
    this.servers = await Promise.all(servers);
    this.servers.forEach(({server}) => this.connections.count(server));
    void this.reporter.run();
  }

  /** Leaves the lists of entry VMs, drains requests, and resolves once none is in flight or the grace period ends. */
  async stop(): Promise<void> {
    this.drainState.leave();
    void this.watch.ask(0);
    await this.drainState.untilLastRequests();
    this.servers.forEach(({drainable}) => drainable.close());
    await this.drainState.untilIdle(() => this.unsentResponses);
    this.reporter.stop();
  }

  private get unsentResponses(): number {
    return this.servers.reduce((sum, {drainable}) => sum + drainable.unsentResponses, 0);
  }

  private get watch(): NodeWatch {
    return this.fleet.watch;
  }

  private get ready(): boolean {
    return (
      !this.drainState.isLeaving &&
      this.watch.view.config !== null &&
      this.watch.ageMs < READY_MAX_AGE_MS
    );
  }

  private decide(decision: RelayDecision, id: string, fields: LogFields): void {
    this.log.decide(decision, id, fields);
    if (decision === 'notResumed') {
      countNotResumed(this.fleet.metrics, fields);
    }
    if (decision === 'ended') {
      countEnd(this.fleet.metrics, fields);
    } else if (decision === 'rejected' || decision === 'waited') {
      countWait(this.fleet.metrics, fields);
    }
  }

  private applyConnectionLimits(): void {
    const limits = this.watch.view.config?.limits;
    const [callers] = this.servers;
    if (limits !== undefined && callers !== undefined) {
      callers.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      callers.server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS;
    }
  }

  /** Answers readiness checks and requests for the addresses of entry VMs. */
  private handleLookup(req: IncomingMessage, res: ServerResponse): void {
    const {wire} = this.options;
    const call = requestHead(req);
    req.resume();
    if (wire.isReadyQuestion(call)) {
      sendResponse(res, {status: this.ready ? 200 : 503});
      return;
    }
    const question = wire.readAddressQuestion(call);
    if (question === null) {
      sendResponse(res, {status: 404});
      return;
    }
    if (this.watch.view.news.entries.length === 0) {
      sendResponse(res, {status: 503});
      return;
    }
    sendResponse(res, wire.encodeAddresses(this.capacity.sampleAddresses(question.zone)));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.drainState.isLeaving) {
      res.setHeader('connection', 'close');
    }
    // Prevents an uncaught error when the caller disconnects; the writer of the response detects that itself.
    res.on('error', () => {});
    await this.drainState.count(async () => {
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
      this.log.note('A call failed unexpectedly.', {error: errorMessage(err), url: req.url});
      res.destroy();
    }
  }

  private onDisconnect(res: ServerResponse, reason: DisconnectReason, heldBytes: number): void {
    const caller = this.options.wire.relay.readCaller(res.req.headers);
    this.log.decide('disconnected', caller?.requestId ?? '', {heldBytes, reason, url: res.req.url});
    const help = 'Callers disconnected because they read too slowly.';
    this.fleet.metrics.count('stallpaddle_slow_callers_total', help, {reason});
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {clock, wire} = this.options;
    const arrivedAt = clock.monotonicMs();
    if (this.drainState.isRefusing) {
      throw refuse('leaving', 'This VM is stopping.', {retryAfterMs: 0});
    }
    await this.customers.refreshIfStale();
    const call = requestHead(req);
    const jobCall = wire.readJobCall(call);
    if (jobCall !== null) {
      req.resume();
      if (jobCall.kind === 'bad') {
        throw refuse('badRequest', jobCall.message);
      }
      sendResponse(res, await this.carryOut(jobCall, req));
      this.capacity.held.noteWrite(res);
      return;
    }
    const maxBytes = this.watch.view.config?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await readBody(req, maxBytes);
    const host = req.headers.host ?? '';
    const route = await this.routes.routeOf(host, call.url);
    const isOpen = (): boolean => (this.routes.find(host, call.url) ?? route).isPublic === true;
    const caller = await this.identify(req, isOpen);
    switch (route.kind) {
      case 'batch':
        sendResponse(res, await this.jobCalls.submit(route, {...call, body}, caller));
        return;
      case 'nonRepeatable':
      case 'repeatable':
      case 'streaming': {
        const metadata = wire.relay.readCaller(req.headers);
        if (metadata === null) {
          throw refuse('badRequest', 'The request carries no request id.');
        }
        const {method, url} = call;
        const {rawHeaders} = req;
        const spentMs = this.deadlines.spentMs(route, metadata.deadlineMs);
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

  /** Refuses a request that this process, which is stopping, might have to interrupt; another VM can run it. */
  private refuseIfTooLate({metadata, route}: RelayRequest): void {
    const limitMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity);
    const longestMs = this.runTimes.longestMs(route.name, limitMs);
    if (longestMs !== undefined && !this.drainState.hasTimeFor(longestMs)) {
      throw refuse('leaving', 'This VM is stopping.', {retryAfterMs: 0});
    }
  }

  /** Sends a request to an engine, within its customer's share and limit. */
  private async relay(request: RelayRequest, res: ServerResponse): Promise<void> {
    const {arrivedAt, caller, metadata, route} = request;
    this.refuseIfTooLate(request);
    this.shares.check(caller, metadata.requestId);
    await this.admission.admit(caller, metadata.requestId);
    if (res.destroyed) {
      // The caller disconnected meanwhile.
      this.admission.refund(caller);
      return;
    }
    const run = new RelayRun(this.context, request, res);
    const end = this.shares.register(caller);
    try {
      await run.run();
    } finally {
      end(!run.neverRan);
    }
    if (run.neverRan) {
      this.admission.refund(caller);
      return;
    }
    const now = this.options.clock.monotonicMs();
    this.runTimes.note(route.name, now - arrivedAt, now);
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

  /** Carries out a job call. A 404 is only sent by the latest keys, since a key may have moved to another customer. */
  private async carryOut(call: JobCall, req: IncomingMessage): Promise<RawResponse> {
    const host = req.headers.host ?? '';
    const isOpen = (): boolean => this.routes.takesJobsOfAnybody(host);
    const caller = await this.identify(req, isOpen);
    const answer = await this.jobCalls.carryOut(call, caller);
    if (answer.status !== NOT_FOUND || caller.kind !== 'customer') {
      return answer;
    }
    if (!(await this.watch.confirm())) {
      throw refuse('stale', 'The latest keys can’t be read at the moment.', {
        retryAfterMs: CONFIG_RETRY_AFTER_MS,
      });
    }
    const latest = await this.identify(req, isOpen);
    const isSame = latest.kind === 'customer' && latest.name === caller.name;
    return isSame ? answer : this.jobCalls.carryOut(call, latest);
  }
}
