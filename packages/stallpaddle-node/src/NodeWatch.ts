/** Watch of the fleet status. */

import type {Clock, LogFields, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {delay, encodeValue} from 'stallpaddle';
import {
  applyReplicaReading,
  applyWatchAnswer,
  EMPTY_VIEW,
  type FleetConfig,
  type FleetHeartbeat,
  type FleetRequest,
  type FleetView,
  type ForwardedHeartbeat,
  type ReplicaReading,
  UNPROVEN_TERM,
  type WatchAnswer,
} from 'stallpaddle-fleet';

import type {NodeGroupClient} from './NodeGroupClient';
import type {NodeMetrics} from './NodeMetrics';

import {NodeBackoff} from './NodeBackoff';
import {
  BOOTSTRAP_TTL_MS,
  CONFIRM_TIMEOUT_MS,
  CONTROL_GROUP,
  FOLLOWER_WATCH_HOLD_MS,
  PEEK_PAUSE_MS,
  PEEK_TIMEOUT_MS,
  PENDING_CONFIG_GRACE_MS,
  REPLICA_READ_INTERVAL_MS,
  RETRY_PAUSE_MS,
  SECOND_MS,
  WATCH_HOLD_MS,
  WATCH_MARGIN_MS,
} from './NodeConstants';
import {NodeReplicaSelector} from './NodeReplicaSelector';

/** Dependencies of `NodeWatch`. */
export interface NodeWatchOptions {
  readonly caller: Pick<NodeGroupClient, 'hosts' | 'tryAt' | 'tryOnce'>;
  readonly clock: Clock;
  /** Returns the current heartbeat of each component of the process. */
  readonly heartbeats: () => readonly FleetHeartbeat[];
  /** Replica VMs to watch, by preference; empty for a process that watches the leader itself. */
  readonly replicaHosts: () => readonly VmId[];
  readonly note: (message: string, fields: LogFields) => void;
  /** Called when neither a replica nor the leader answered. */
  readonly onSilence: () => void;
  /** Called for each answer, with the new and the previous fleet status. */
  readonly onView: (view: FleetView, before: FleetView) => void;
  /** Heartbeats received from other processes, which a replica forwards to the leader. */
  readonly relayed: {
    readonly confirm: (term: number) => void;
    readonly take: () => readonly ForwardedHeartbeat[];
  };
}

/**
 * Keeps the fleet status of a process up to date by long polling. Most processes poll a replica of the control group;
 * the replicas and the dispatcher poll the leader itself, which keeps the load on the leader low.
 */
export class NodeWatch {
  private readonly backoff = new NodeBackoff();
  private current: FleetView = EMPTY_VIEW;
  private readAt: MonotonicMs = -Infinity;
  private refreshing: Promise<boolean> | undefined;
  private readonly selector = new NodeReplicaSelector();
  /** VM that supplies the fleet status; null for the leader, undefined for none. */
  private source: null | undefined | VmId;
  /** Replicas named in bootstrap messages, with the time of the last one. */
  private readonly bootstrapped = new Map<ReplicaId, MonotonicMs>();
  private stopped = false;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeWatchOptions) {}

  /** The current fleet status. */
  get view(): FleetView {
    return this.current;
  }

  /** Age of the fleet status, in milliseconds. */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.current.asOf;
  }

  /** Whether a newer configuration than the one held here may have been in force for too long. */
  get lacksConfig(): boolean {
    const {config, pendingConfig} = this.current;
    return (
      pendingConfig !== null &&
      pendingConfig.version > (config?.version ?? -Infinity) &&
      this.options.clock.monotonicMs() - pendingConfig.since >= PENDING_CONFIG_GRACE_MS
    );
  }

  /** Known replicas of the control group, from the fleet status and from bootstrap messages. */
  get controls(): readonly ReplicaId[] {
    const oldest = this.options.clock.monotonicMs() - BOOTSTRAP_TTL_MS;
    const recent = [...this.bootstrapped].filter(([, at]) => at > oldest).map(([id]) => id);
    return [...new Set([...this.current.news.controls, ...recent])];
  }

  /** Polls until the process stops. */
  async run(): Promise<void> {
    this.options.caller.hosts().forEach((host) => void this.peekAt(host));
    this.readReplicasIfDue();
    while (!this.stopped) {
      if (await this.poll()) {
        this.backoff.reset();
      } else {
        this.options.onSilence();
        this.readReplicasIfDue();
        await delay(this.backoff.nextMs());
      }
    }
  }

  /**
   * Polls the leader itself once.
   *
   * @param waitMs longest time that the leader holds its answer while nothing is new, in milliseconds
   * @returns whether the leader answered
   */
  async ask(waitMs: number): Promise<boolean> {
    const {caller} = this.options;
    const outcome = await this.request((call, tryMs) => caller.tryOnce(call, tryMs), waitMs, false);
    return outcome.kind === 'answered';
  }

  /**
   * Polls the leader if the fleet status is older than allowed; concurrent calls share one request.
   *
   * @param maxAgeMs largest age allowed, in milliseconds
   * @returns whether the status is recent enough now
   */
  async refresh(maxAgeMs: number): Promise<boolean> {
    if (this.ageMs > maxAgeMs) {
      await this.askShared();
    }
    return this.ageMs <= maxAgeMs;
  }

  /**
   * Polls the leader for a fleet status at least as recent as this call; calls made meanwhile share the next request.
   *
   * @returns whether the status is as recent as the call
   */
  async confirm(): Promise<boolean> {
    const {clock} = this.options;
    const calledAt = clock.monotonicMs();
    // The leader may have answered a request in flight before this call was made.
    await this.refreshing;
    while (this.current.asOf < calledAt && clock.monotonicMs() - calledAt < CONFIRM_TIMEOUT_MS) {
      if (!(await this.askShared())) {
        await delay(RETRY_PAUSE_MS);
      }
    }
    return this.current.asOf >= calledAt;
  }

  /**
   * Waits until a leader has confirmed a first fleet status.
   *
   * @param maxMs longest wait, in milliseconds
   */
  async untilConfirmed(maxMs: number): Promise<void> {
    const {clock} = this.options;
    const end = clock.monotonicMs() + maxMs;
    while (this.ageMs === Infinity && clock.monotonicMs() < end) {
      await delay(RETRY_PAUSE_MS);
    }
  }

  /** Polls the leader; concurrent calls wait for the same answer. */
  private askShared(): Promise<boolean> {
    this.refreshing ??= this.ask(0).finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  /**
   * Notes the replicas named in a bootstrap message.
   *
   * @param replicas the replicas
   */
  noteReplicas(replicas: readonly ReplicaId[]): void {
    const now = this.options.clock.monotonicMs();
    replicas.forEach((replica) => this.bootstrapped.set(replica, now));
    for (const [replica, at] of this.bootstrapped) {
      if (at <= now - BOOTSTRAP_TTL_MS) {
        this.bootstrapped.delete(replica);
      }
    }
  }

  /** The fleet status for processes that have none yet, marked as unproven because it may be outdated. */
  unprovenAnswer(): WatchAnswer {
    const {config} = this.current;
    const news = {...this.current.news, controls: this.controls};
    return {
      ageMs: 0,
      config,
      fleet: 0,
      heldMs: 0,
      proven: false,
      term: UNPROVEN_TERM,
      update: {kind: 'whole', news},
    };
  }

  /**
   * Uses the fleet status of a replica, which may be outdated, while this process has no configuration, and its
   * configuration if it is newer, until a leader has answered.
   *
   * @param answer the replica's fleet status
   */
  offer(answer: WatchAnswer): void {
    const {config} = answer;
    if (this.current.config === null) {
      this.take(answer, -Infinity);
    } else if (this.ageMs === Infinity && config !== null) {
      this.takeNewer(config);
    }
  }

  /**
   * Adds the gauges of the fleet status.
   *
   * @param metrics the process's metrics
   */
  exposeMetrics(metrics: NodeMetrics): void {
    metrics.exposeGauge('stallpaddle_view_age_seconds', 'Age of what is known.', () => {
      return this.ageMs / SECOND_MS;
    });
    const help = 'Requests during whose runs engines ended.';
    metrics.exposeGauge('stallpaddle_suspects', help, () => this.view.news.suspects.length);
    const partsHelp = 'Parts of prompts that are quarantined because engines ended.';
    metrics.exposeGauge('stallpaddle_quarantined_parts', partsHelp, () => {
      return this.view.news.suspectParts.filter(({group}) => group !== null).length;
    });
  }

  /** Stops polling. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Asks all replicas for their configurations while no leader answers: one may have applied a newer one, or have it in its
   * log.
   */
  private readReplicasIfDue(): void {
    const {caller, clock} = this.options;
    if (clock.monotonicMs() - this.readAt < REPLICA_READ_INTERVAL_MS) {
      return;
    }
    this.readAt = clock.monotonicMs();
    caller.hosts().forEach((host) => void this.readReplicaAt(host));
  }

  private async readReplicaAt(host: VmId): Promise<void> {
    const {caller, clock} = this.options;
    const configAfter = this.current.config?.version ?? -Infinity;
    const encoded = encodeValue({configAfter, kind: 'readReplica'} satisfies FleetRequest);
    const request = {encoded, group: CONTROL_GROUP, query: true};
    const sentAt = clock.monotonicMs();
    const outcome = await caller.tryAt(host, request, PEEK_TIMEOUT_MS);
    // The answer of a leader that came meanwhile may be newer.
    if (outcome.kind === 'answered' && this.current.asOf < sentAt) {
      const reading = outcome.result as ReplicaReading;
      this.update(applyReplicaReading(this.current, reading, clock.monotonicMs()));
    }
  }

  /**
   * Polls the replicas by preference until one answers, and otherwise the leader. Only the first one may hold its answer: after
   * a failure the process must learn what it has missed.
   */
  private async poll(): Promise<boolean> {
    const {caller, clock, replicaHosts} = this.options;
    const order = replicaHosts();
    for (let tries = 0; tries < order.length && !this.stopped; tries++) {
      const host = this.selector.choose(order, clock.monotonicMs());
      if (host === undefined) {
        break;
      }
      const tryReplica = (call: TryRequest, tryMs: number) => caller.tryAt(host, call, tryMs);
      const mayHold = tries === 0 && this.selector.mayHold(host);
      const outcome = await this.request(tryReplica, mayHold ? FOLLOWER_WATCH_HOLD_MS : 0, true);
      if (outcome.kind === 'answered') {
        this.selector.noteAnswer(host);
        this.noteSource(host);
        return true;
      }
      this.noteLostSource(host, outcome.kind);
      const why = outcome.kind === 'notLeader' ? 'refused' : 'silent';
      this.selector.noteFailure(host, why, clock.monotonicMs());
    }
    const isAnswered = await this.ask(WATCH_HOLD_MS);
    if (isAnswered) {
      this.noteSource(null);
    }
    return isAnswered;
  }

  private async request(
    tryCall: (call: TryRequest, tryMs: number) => Promise<TryOutcome>,
    waitMs: number,
    mayRelay: boolean,
  ): Promise<TryOutcome> {
    const {clock, heartbeats, relayed} = this.options;
    const {config, fleet, term} = this.current;
    const request: FleetRequest = {
      hellos: heartbeats(),
      kind: 'watch',
      known: {config: config?.version ?? null, fleet, term},
      mayRelay,
      relayed: mayRelay ? [] : relayed.take(),
      waitMs,
    };
    const sentAt = clock.monotonicMs();
    const call = {encoded: encodeValue(request), group: CONTROL_GROUP, query: true};
    const outcome = await tryCall(call, waitMs + WATCH_MARGIN_MS);
    if (outcome.kind === 'answered') {
      const answer = outcome.result as WatchAnswer;
      this.take(answer, sentAt);
      if (!mayRelay) {
        relayed.confirm(answer.term);
      }
    }
    return outcome;
  }

  /** Logs a change of the VM that supplies the fleet status. */
  private noteSource(host: null | VmId): void {
    if (this.source !== host) {
      this.source = host;
      const from = host ?? 'leader';
      this.options.note('Another VM supplies the fleet status.', {from, term: this.current.term});
    }
  }

  private noteLostSource(host: VmId, how: string): void {
    if (this.source === host) {
      this.source = undefined;
      const ageMs = Math.round(this.ageMs);
      this.options.note('A VM no longer supplies the fleet status.', {ageMs, from: host, how});
    }
  }

  /**
   * Asks a host for its fleet status until it has told its configuration or a leader has answered. All hosts are asked in
   * parallel, because some may be unreachable and cost a full timeout, and others may lag.
   */
  private async peekAt(host: VmId): Promise<void> {
    const {caller} = this.options;
    const encoded = encodeValue({kind: 'peek'} satisfies FleetRequest);
    let hasConfig = false;
    while (!this.stopped && !hasConfig && this.ageMs === Infinity) {
      const request = {encoded, group: CONTROL_GROUP, query: true};
      const outcome = await caller.tryAt(host, request, PEEK_TIMEOUT_MS);
      if (outcome.kind === 'answered') {
        const answer = outcome.result as WatchAnswer;
        this.offer(answer);
        hasConfig = answer.config !== null;
      }
      // A host that answered without a configuration is unlikely to have one soon.
      await delay(outcome.kind === 'answered' ? PEEK_PAUSE_MS : RETRY_PAUSE_MS);
    }
  }

  private take(answer: WatchAnswer, sentAt: MonotonicMs): void {
    this.update(applyWatchAnswer(this.current, answer, sentAt));
  }

  /** A configuration that another process holds is committed. */
  private takeNewer(config: FleetConfig): void {
    if (config.version > (this.current.config?.version ?? -Infinity)) {
      this.update({...this.current, config});
    }
  }

  private update(view: FleetView): void {
    const before = this.current;
    this.current = view;
    this.options.onView(view, before);
  }
}
