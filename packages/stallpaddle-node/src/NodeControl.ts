/**
 * Control API of a process for engines, the operator and other processes.
 */

import type {ConnectRouter} from '@connectrpc/connect';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DrainableServer, LogFields, ReplicaId} from 'stallpaddle';
import type {AskVote, LimitAsk} from 'stallpaddle-limits';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import path from 'node:path';
import {decodeValue, delay, errorMessage, registerLoop, vmOfReplica} from 'stallpaddle';
import {
  type FleetHeartbeat,
  fleetMachine,
  type FleetRequest,
  type FleetState,
  type FleetView,
} from 'stallpaddle-fleet';
import {loadIdentity, NotLeaderError} from 'stallpaddle-replication';
import {type RpcServer, startRpcServer, tryLocal} from 'stallpaddle-rpc';
import {openDisk} from 'stallpaddle-storage';

import type {NodeFleet} from './NodeFleet';
import type {NodeLimits} from './NodeLimits';
import type {NodeStreams, StreamAsk} from './NodeStreams';
import type {NodeOptions} from './NodeTypes';

import {NodeBootstrapper} from './NodeBootstrapper';
import {BOOTSTRAP_INTERVAL_MS, CONTROL_GROUP, LEADER_HANDOVER_MS} from './NodeConstants';
import {NodeControlCalls} from './NodeControlCalls';
import {NodeControlHandler} from './NodeControlHandler';
import {NodeFollowerHandler} from './NodeFollowerHandler';
import {NodeGroup} from './NodeGroup';
import {readBody, requestHead, sendResponse, startServer} from './NodeHttp';
import {NodeKnownEntries} from './NodeKnownEntries';
import {NodeLog} from './NodeLog';
import {addNodeService} from './NodeService';
import {hostOf, portOf, toleratedDiskLosses} from './NodeSettings';

/** Largest body of a control call, in bytes. */
const MAX_CALL_BYTES = 16_777_216;
/** Idle timeout of a connection of an engine or the operator, in milliseconds. */
const IDLE_MS = 15_000;
/** Name of a founder's first disk. It is fixed, so that founders can name each other's replicas before they have met. */
const FOUNDER = 'first';

/**
 * Serves calls of engines, the operator and other processes. On a VM with a disk it also runs a replica of the control
 * group; on other VMs calls go to the group's leader.
 */
export class NodeControl {
  private handler: NodeControlHandler | undefined;
  private readonly followerHandler: NodeFollowerHandler;
  private group: NodeGroup<FleetState> | undefined;
  private readonly log: NodeLog;
  private rpc: RpcServer | undefined;
  private self: ReplicaId | undefined;
  private server: DrainableServer | undefined;
  private stopBootstrapping: () => Promise<void> = () => Promise.resolve();

  /**
   * @param options the process's clock, settings and other dependencies
   * @param fleet connections to the other processes and the fleet status
   * @param limits answers requests for limits that this VM owns
   * @param streams keeps records of streams for other VMs
   */
  constructor(
    private readonly options: NodeOptions,
    private readonly fleet: NodeFleet,
    private readonly limits: NodeLimits,
    private readonly streams: NodeStreams,
  ) {
    const {clock, loggers} = options;
    this.log = new NodeLog(loggers('control'), clock, fleet.metrics);
    this.followerHandler = new NodeFollowerHandler(clock, fleet.watch, fleet.forwarded);
  }

  /**
   * Answers a call of this process to the control group's leader without the network.
   *
   * @param request the call
   */
  answerLocally({encoded}: TryRequest): Promise<TryOutcome> {
    return tryLocal(() => this.answer(decodeValue<FleetRequest>(encoded)));
  }

  /**
   * Publishes a changed view of the fleet to the processes that watch it here.
   *
   * @param view the new view
   * @param before the previous view
   */
  onView(view: FleetView, before: FleetView): void {
    this.followerHandler.onView(view, before);
  }

  /** Reports that this process got no status update, so that processes that watch here may have to go elsewhere. */
  onUnanswered(): void {
    this.followerHandler.onUnanswered();
  }

  /**
   * Writes a line to the control log.
   *
   * @param message one sentence
   * @param fields structured fields of the line
   */
  note(message: string, fields: LogFields): void {
    this.log.note(message, fields);
  }

  /** Heartbeats of this process's control replica; none without a replica. */
  heartbeats(): readonly FleetHeartbeat[] {
    return this.self === undefined ? [] : [{kind: 'control', replica: this.self}];
  }

  /** Starts the servers, and opens the replica where the VM has a disk. */
  async open(): Promise<void> {
    const {control, dataFolder, host, peerListenPort, peerPort} = this.options.settings;
    const {key} = this.fleet.peers;
    const addService = (router: ConnectRouter) =>
      addNodeService(router, {
        answer: (value) => this.answerPeer(value as AskVote | FleetRequest | LimitAsk | StreamAsk),
        group: CONTROL_GROUP,
        onFailure: (err) =>
          this.log.note('A call of another process failed.', {error: errorMessage(err)}),
        replica: () => this.group?.driver,
      });
    this.rpc = await startRpcServer(host, peerListenPort ?? peerPort, key, addService, (from) =>
      this.fleet.peers.noteRefused(from),
    );
    if (control !== null) {
      const calls = new NodeControlCalls(this.fleet.control, portOf(control), this.log);
      const handler = (req: IncomingMessage, res: ServerResponse) =>
        void this.handle(calls, req, res);
      const {drainable} = await startServer(control, handler, IDLE_MS);
      this.server = drainable;
    }
    if (dataFolder !== '') {
      await this.openReplica(dataFolder);
    }
  }

  /** Transfers leadership away; the replica still answers calls and votes. */
  stepDown(): void {
    this.group?.driver.transferLeadership();
  }

  /** Stops the servers and closes the replica; a leader transfers its leadership first. */
  async stop(): Promise<void> {
    if (this.group?.driver.leads === true) {
      this.stepDown();
      // Lets calls in flight finish with the next leader.
      await delay(LEADER_HANDOVER_MS);
    }
    this.server?.close();
    this.handler?.stop();
    await this.stopBootstrapping();
    await this.group?.close();
    await this.rpc?.stop();
  }

  private async openReplica(dataFolder: string): Promise<void> {
    const {clock, loggers, onFailure, settings} = this.options;
    const {first, host, seeds} = settings;
    const lostDisks = toleratedDiskLosses(settings);
    const founders = first ? seeds.map((seed) => `${hostOf(seed)}/${FOUNDER}`).sort() : null;
    const isFounder = founders?.includes(`${host}/${FOUNDER}`) === true;
    const root = await openDisk(dataFolder);
    const self = await loadIdentity(root, host, isFounder ? FOUNDER : undefined);
    const group = await NodeGroup.open({
      candidates: () => this.handler?.candidates() ?? [],
      clock,
      disk: await openDisk(path.join(dataFolder, CONTROL_GROUP)),
      founders,
      group: CONTROL_GROUP,
      logger: loggers('control'),
      lostDisks,
      machine: fleetMachine,
      onFailure,
      peers: this.fleet.peers,
      self,
    });
    const knownEntries = await NodeKnownEntries.open(root, (message, fields) =>
      this.log.note(message, fields),
    );
    this.handler = new NodeControlHandler({
      clock,
      group,
      lastKnownJobsReplicas: () => this.fleet.watch.view.news.jobsReplicas,
      log: (message, fields) => this.log.note(message, fields),
      lostDisks,
      recordedEntries: () => knownEntries.hosts.length,
      reportMs: settings.bounds.report,
    });
    this.group = group;
    this.self = self;
    this.exposeMetrics(group);
    const {fleet, handler} = this;
    fleet.watch.offer(handler.peek());
    const introducer = new NodeBootstrapper({
      clock,
      fleet,
      group,
      host,
      knownEntries,
      peek: () => handler.peek(),
    });
    // A restarted process knows nobody until the first round, so it doesn't wait for the interval.
    void introducer.bootstrap();
    this.stopBootstrapping = registerLoop(BOOTSTRAP_INTERVAL_MS, () => introducer.bootstrap());
  }

  /** Whether the replica knows the members of its group. One on an empty disk does once it has joined. */
  private get knowsGroup(): boolean {
    return (this.group?.driver.status.log.members.voters.length ?? 0) > 0;
  }

  private exposeMetrics(group: NodeGroup<FleetState>): void {
    const {metrics} = this.fleet;
    group.exposeMetrics(metrics);
    metrics.exposeGauge('stallpaddle_replica_config_version', 'Version held here.', () => {
      return group.driver.localState.config?.version ?? 0;
    });
  }

  /** Answers another process. Any VM may own a limit or hold records of streams, with or without a replica. */
  private answerPeer(request: AskVote | FleetRequest | LimitAsk | StreamAsk): Promise<unknown> {
    if (request.kind === 'askLimit' || request.kind === 'returnLimit') {
      return this.limits.answer(request);
    }
    if (request.kind === 'voteLimitOwner') {
      return Promise.resolve(this.limits.answerVote(request));
    }
    if (request.kind === 'findStream' || request.kind === 'recordStreams') {
      return Promise.resolve(this.streams.answer(request));
    }
    return this.answer(request);
  }

  /**
   * Answers a fleet request. A follower answers watches that allow it from its view of the fleet; a replica that has
   * joined its group answers the rest as a leader would. Without such a replica only the process's own view is available.
   */
  private answer(request: FleetRequest): Promise<unknown> {
    if (this.handler !== undefined) {
      if (request.kind === 'watch' && request.mayRelay && !this.handler.leads) {
        return this.followerHandler.answer(request);
      }
      if (this.knowsGroup) {
        return this.handler.answer(request);
      }
    }
    const {control, watch} = this.fleet;
    if (request.kind === 'introduce') {
      watch.noteReplicas(request.replicas);
      if (request.told !== null) {
        watch.offer(request.told);
      }
      return Promise.resolve(null);
    }
    if (request.kind === 'peek') {
      return Promise.resolve(watch.unprovenAnswer());
    }
    const leads = (replica: ReplicaId): boolean => vmOfReplica(replica) === control.leaderHost;
    throw new NotLeaderError(watch.controls.find(leads) ?? null);
  }

  private async handle(
    calls: NodeControlCalls,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {wire} = this.options;
    try {
      const body = await readBody(req, MAX_CALL_BYTES);
      const call = wire.readControl({...requestHead(req), body});
      sendResponse(res, wire.encodeControl(await calls.reply(call)));
    } catch (err) {
      this.log.note('A control call failed.', {error: errorMessage(err), url: req.url});
      res.destroy();
    }
  }
}
