import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import path from 'node:path';
import {delay, errorMessage, RefusalError, unreachable} from 'stallpaddle';
import {
  findConfigFault,
  type FleetAnswer,
  type FleetConfig,
  fleetMachine,
  type FleetRequest,
  type FleetState,
  type RetireAnswer,
} from 'stallpaddle-fleet';
import {loadIdentity, NotLeaderError} from 'stallpaddle-replication';
import {type RpcServer, startRpcServer} from 'stallpaddle-rpc';
import {openDisk} from 'stallpaddle-storage';

/**
 * The process that serves engines and the operator, and holds a replica of the control group.
 */
import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';
import type {ControlCall, ControlReply, NodeWire} from './NodeWire';

import {hostsToAsk, NodeCaller} from './NodeCaller';
import {CONTROL_CALL_MS, CONTROL_GROUP, HAND_OVER_MS} from './NodeConstants';
import {NodeDesk} from './NodeDesk';
import {NodeGroup} from './NodeGroup';
import {callOf, readBody, sendAnswer, startMetricsServer, startServer} from './NodeHttp';
import {NodeLog} from './NodeLog';
import {NodeMetrics} from './NodeMetrics';
import {NodePeers} from './NodePeers';
import {addNodeService} from './NodeService';
import {hostOf, lostDisksOf, portOf} from './NodeSettings';
import {NodeWatch} from './NodeWatch';

/** Largest call of the operator, in bytes: a configuration of some hundred thousand routes' shares. */
const MAX_CALL_BYTES = 16_777_216;
/** Time that a rested connection of an engine or the operator is kept, in milliseconds. */
const IDLE_MS = 15_000;
/** Name of the first disk of a founder, known to all founders beforehand. */
const FOUNDER = 'first';

function isLostCall(err: unknown): boolean {
  return err instanceof RefusalError || err instanceof NotLeaderError;
}

/** See the module's comment. */
export class NodeControl implements RunningNode {
  private readonly caller: NodeCaller;
  private readonly log: NodeLog;
  private readonly metrics = new NodeMetrics();
  private readonly peers: NodePeers;
  private seeds: readonly string[];
  private readonly watch: NodeWatch;
  private group!: NodeGroup<FleetState>;
  private desk!: NodeDesk;
  private self!: string;
  private server!: Server;
  private rpc!: RpcServer;

  private constructor(private readonly options: NodeOptions) {
    const {clock, logger, settings} = options;
    this.log = new NodeLog(logger, clock, this.metrics);
    this.peers = new NodePeers(settings.peerPort);
    this.seeds = settings.seeds;
    this.caller = new NodeCaller({
      clock,
      group: CONTROL_GROUP,
      hosts: () => this.hosts(),
      peers: this.peers,
    });
    this.watch = new NodeWatch({
      caller: this.caller,
      clock,
      hello: () => ({kind: 'control', replica: this.self}),
      onView: () => {},
    });
  }

  /**
   * Starts the process.
   *
   * @param options what it is made of
   */
  static async start(options: NodeOptions): Promise<NodeControl> {
    const node = new NodeControl(options);
    await node.open();
    return node;
  }

  /**
   * Takes in settings that have changed.
   *
   * @param settings the settings as they are now; only the seeds are followed
   */
  reload(settings: NodeSettings): void {
    this.seeds = settings.seeds;
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    this.watch.stop();
    const {driver} = this.group;
    driver.transferLeadership();
    // Calls under way get their answers from the next leader.
    await delay(HAND_OVER_MS);
    this.server.close();
    this.desk.stop();
    await this.group.close();
    await this.rpc.stop();
    this.peers.close();
  }

  private hosts(): readonly string[] {
    const known = hostsToAsk(this.seeds, this.watch.view.news.controls);
    return [...new Set([...known, this.options.settings.host])];
  }

  private async open(): Promise<void> {
    const {clock, logger, onFailure, settings, wire} = this.options;
    const {control, dataFolder, first, host, peerPort, seeds} = settings;
    const lostDisks = lostDisksOf(settings);
    if (dataFolder === '' || control === null) {
      throw new Error('a control process needs a data folder and an address for control calls');
    }
    const founders = first ? seeds.map((seed) => `${hostOf(seed)}/${FOUNDER}`).sort() : null;
    const isFounder = founders?.includes(`${host}/${FOUNDER}`) === true;
    const root = await openDisk(dataFolder);
    this.self = await loadIdentity(root, host, isFounder ? FOUNDER : undefined);
    const disk = await openDisk(path.join(dataFolder, CONTROL_GROUP));
    this.group = await NodeGroup.open({
      candidates: () => this.desk.candidates(),
      clock,
      disk,
      founders,
      group: CONTROL_GROUP,
      logger,
      lostDisks,
      machine: fleetMachine,
      onFailure,
      peers: this.peers,
      self: this.self,
    });
    this.desk = new NodeDesk({
      clock,
      group: this.group,
      log: (message, fields) => this.log.note(message, fields),
      lostDisks,
      reportMs: settings.bounds.report,
      self: this.self,
    });
    this.rpc = await startRpcServer(host, peerPort, this.peers.key, (router) =>
      addNodeService(router, {
        answer: (value) => this.desk.answer(value as FleetRequest),
        group: CONTROL_GROUP,
        replica: () => this.group.driver,
      }),
    );
    this.group.exposeMetrics(this.metrics);
    this.metrics.exposeGauge('stallpaddle_config_version', 'Version held here.', () => {
      return this.group.driver.localState.config?.version ?? 0;
    });
    await startMetricsServer(settings.metrics, this.metrics);
    this.server = await startServer(
      control,
      (req, res) => void this.handle(req, res, wire),
      IDLE_MS,
    );
    void this.watch.run();
  }

  private async handle(req: IncomingMessage, res: ServerResponse, wire: NodeWire): Promise<void> {
    try {
      const body = await readBody(req, MAX_CALL_BYTES);
      const call = wire.readControl({...callOf(req), body});
      sendAnswer(res, wire.encodeControl(await this.reply(call)));
    } catch (err) {
      this.log.note('A control call broke off.', {error: errorMessage(err), url: req.url});
      res.destroy();
    }
  }

  private async reply(call: ControlCall): Promise<ControlReply> {
    try {
      return await this.carryOut(call);
    } catch (err) {
      if (isLostCall(err)) {
        this.log.decide('unavailable', call.kind, {error: errorMessage(err)});
        return {kind: 'unavailable', message: errorMessage(err)};
      }
      throw err;
    }
  }

  private async carryOut(call: ControlCall): Promise<ControlReply> {
    switch (call.kind) {
      case 'bad':
        return {kind: 'refused', message: call.message};
      case 'putConfig':
        return this.putConfig(call.config);
      case 'readConfig': {
        const config = await this.ask<FleetConfig | null>({kind: 'readConfig'});
        return config === null ? {kind: 'notFound'} : {config, kind: 'config'};
      }
      case 'removeEngine':
        await this.order<FleetAnswer>(call);
        this.log.decide('engineGone', call.id, {});
        return {kind: 'done'};
      case 'reportEngine': {
        await this.order<FleetAnswer>(call);
        const {leaderHost} = this.caller;
        const port = portOf(this.options.settings.control!);
        return {beatsTo: leaderHost === null ? null : `${leaderHost}:${port}`, kind: 'reported'};
      }
      case 'retireState':
      case 'retireStore': {
        const state = await this.order<RetireAnswer>(call);
        this.log.decide(call.kind, call.name, {state});
        return {kind: 'retire', state};
      }
      case 'unknown':
        return {kind: 'notFound'};
      default:
        return unreachable(call);
    }
  }

  private async putConfig(config: FleetConfig): Promise<ControlReply> {
    const fault = findConfigFault(config);
    if (fault !== null) {
      this.log.decide('configRefused', String(config.version), {...fault});
      return {kind: 'refused', message: fault.message};
    }
    const {kind} = await this.order<FleetAnswer>({config, kind: 'putConfig'});
    this.log.decide('configTaken', String(config.version), {outcome: kind});
    return {kind: 'done'};
  }

  private ask<Answer>(value: FleetRequest): Promise<Answer> {
    return this.caller.call<Answer>({changes: false, totalMs: CONTROL_CALL_MS, value});
  }

  private order<Answer>(value: FleetRequest): Promise<Answer> {
    return this.caller.call<Answer>({changes: true, totalMs: CONTROL_CALL_MS, value});
  }
}
