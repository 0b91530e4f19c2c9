/**
 * The part of a process that serves engines and the operator. Where the VM has a disk it holds a replica of
 * the control group; elsewhere it hands every call on to the group's leader.
 */

import type {ConnectRouter} from '@connectrpc/connect';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {LogFields, ReplicaId} from 'stallpaddle';
import type {LimitAsk} from 'stallpaddle-limits';
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
import type {NodeOptions} from './NodeTypes';

import {NodeBootstrapper} from './NodeBootstrapper';
import {CONTROL_GROUP, HAND_OVER_MS, INTRODUCE_MS} from './NodeConstants';
import {NodeControlCalls} from './NodeControlCalls';
import {NodeControlHandler} from './NodeControlHandler';
import {NodeFollowerHandler} from './NodeFollowerHandler';
import {NodeGroup} from './NodeGroup';
import {callOf, readBody, sendAnswer, startServer} from './NodeHttp';
import {NodeKnownEntries} from './NodeKnownEntries';
import {NodeLog} from './NodeLog';
import {addNodeService} from './NodeService';
import {hostOf, lostDisksOf, portOf} from './NodeSettings';

/** Largest call of the operator, in bytes: a configuration of some hundred thousand routes' shares. */
const MAX_CALL_BYTES = 16_777_216;
/** Time that a rested connection of an engine or the operator is kept, in milliseconds. */
const IDLE_MS = 15_000;
/** Name of the first disk of a founder, known to all founders beforehand. */
const FOUNDER = 'first';

/** See the module's comment. */
export class NodeControl {
  private handler: NodeControlHandler | undefined;
  private readonly followerHandler: NodeFollowerHandler;
  private group: NodeGroup<FleetState> | undefined;
  private readonly log: NodeLog;
  private rpc: RpcServer | undefined;
  private self: ReplicaId | undefined;
  private server: Server | undefined;
  private stopBootstrapping: () => Promise<void> = () => Promise.resolve();

  /**
   * @param options what the process is made of
   * @param fleet the process's place in its fleet
   * @param limits limits that this VM may own
   */
  constructor(
    private readonly options: NodeOptions,
    private readonly fleet: NodeFleet,
    private readonly limits: NodeLimits,
  ) {
    const {clock, loggers} = options;
    this.log = new NodeLog(loggers('control'), clock, fleet.metrics);
    this.followerHandler = new NodeFollowerHandler(clock, fleet.watch, fleet.forwarded);
  }

  /**
   * Answers a call of this process to the control group's leader.
   *
   * @param request the call
   */
  answerLocally({encoded}: TryRequest): Promise<TryOutcome> {
    return tryLocal(() => this.answer(decodeValue<FleetRequest>(encoded)));
  }

  /**
   * Follows what this process knows, for those that ask it.
   *
   * @param view what it knows now
   * @param before what it knew before
   */
  onView(view: FleetView, before: FleetView): void {
    this.followerHandler.onView(view, before);
  }

  /** Nobody told this process anything: who asks it may have to ask elsewhere. */
  onUnanswered(): void {
    this.followerHandler.onUnanswered();
  }

  /**
   * Writes a line of this part's log.
   *
   * @param message one sentence
   * @param fields what goes with it
   */
  note(message: string, fields: LogFields): void {
    this.log.note(message, fields);
  }

  /** What this part says of itself to the control group's leader. */
  heartbeats(): readonly FleetHeartbeat[] {
    return this.self === undefined ? [] : [{kind: 'control', replica: this.self}];
  }

  /** Begins to listen, and opens the replica where the VM has a disk. */
  async open(): Promise<void> {
    const {control, dataFolder, host, peerListenPort, peerPort} = this.options.settings;
    const {key} = this.fleet.peers;
    const addService = (router: ConnectRouter) =>
      addNodeService(router, {
        answer: (value) => this.answerPeer(value as FleetRequest | LimitAsk),
        group: CONTROL_GROUP,
        onFailure: (err) =>
          this.log.note('A call of another process broke off.', {error: errorMessage(err)}),
        replica: () => this.group?.driver,
      });
    this.rpc = await startRpcServer(host, peerListenPort ?? peerPort, key, addService, (from) =>
      this.fleet.peers.noteRefused(from),
    );
    if (control !== null) {
      const calls = new NodeControlCalls(this.fleet.control, portOf(control), this.log);
      const handler = (req: IncomingMessage, res: ServerResponse) =>
        void this.handle(calls, req, res);
      this.server = await startServer(control, handler, IDLE_MS);
    }
    if (dataFolder !== '') {
      await this.openReplica(dataFolder);
    }
  }

  /** Leads no more; calls are answered and votes are cast on. */
  stepDown(): void {
    this.group?.driver.transferLeadership();
  }

  /** Ends the replica; a leader hands over first. */
  async stop(): Promise<void> {
    if (this.group?.driver.leads === true) {
      this.stepDown();
      // Calls under way get their answers from the next leader.
      await delay(HAND_OVER_MS);
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
    const lostDisks = lostDisksOf(settings);
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
    this.handler = new NodeControlHandler({
      clock,
      group,
      lastKnownJobsReplicas: () => this.fleet.watch.view.news.jobsReplicas,
      log: (message, fields) => this.log.note(message, fields),
      lostDisks,
      reportMs: settings.bounds.report,
    });
    this.group = group;
    this.self = self;
    this.exposeMetrics(group);
    const {handler: desk, fleet} = this;
    fleet.watch.offer(desk.peek());
    const introducer = new NodeBootstrapper({
      clock,
      fleet,
      group,
      host,
      peek: () => desk.peek(),
      knownEntries: await NodeKnownEntries.open(root, (message, fields) =>
        this.log.note(message, fields),
      ),
    });
    // Whoever is back knows nothing until the first round.
    void introducer.bootstrap();
    this.stopBootstrapping = registerLoop(INTRODUCE_MS, () => introducer.bootstrap());
  }

  /** Whether the replica knows the members of its group; an empty disk does once the group has taken it in. */
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

  /** Limits are asked for at any VM, whether it holds a replica or not. */
  private answerPeer(request: FleetRequest | LimitAsk): Promise<unknown> {
    return request.kind === 'askLimit' || request.kind === 'returnLimit'
      ? this.limits.answer(request)
      : this.answer(request);
  }

  /**
   * Answers other processes: as a leader does, with what the leader told this replica where that is enough, or, without a
   * replica or with an empty one, with what this process was told.
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
      return Promise.resolve(watch.told());
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
      const call = wire.readControl({...callOf(req), body});
      sendAnswer(res, wire.encodeControl(await calls.reply(call)));
    } catch (err) {
      this.log.note('A control call broke off.', {error: errorMessage(err), url: req.url});
      res.destroy();
    }
  }
}
