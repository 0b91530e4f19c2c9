/**
 * Keeps what a process knows of the fleet, by asking again and again: most processes a replica of the control group,
 * replicas and whoever runs items the leader itself.
 */

import type {Clock, LogFields, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {delay, encodeValue} from 'stallpaddle';
import {
  applyWatchAnswer,
  EMPTY_VIEW,
  type FleetHeartbeat,
  type FleetRequest,
  type FleetView,
  type ForwardedHeartbeat,
  UNPROVEN_TERM,
  type WatchAnswer,
} from 'stallpaddle-fleet';

import type {NodeCaller} from './NodeCaller';
import type {NodeMetrics} from './NodeMetrics';

import {NodeBackoff} from './NodeBackoff';
import {
  CALL_AGAIN_MS,
  CONFIRM_MS,
  CONTROL_GROUP,
  INTRODUCED_COUNTS_MS,
  PEEK_AGAIN_MS,
  PEEK_TRY_MS,
  RELAYED_HOLD_MS,
  SECOND_MS,
  WATCH_HOLD_MS,
  WATCH_MARGIN_MS,
} from './NodeConstants';
import {NodeHops} from './NodeHops';

/** What the watch needs of its process. */
export interface NodeWatchOptions {
  readonly caller: Pick<NodeCaller, 'hosts' | 'tryAt' | 'tryOnce'>;
  readonly clock: Clock;
  /** What each part of the process says of itself now. */
  readonly hellos: () => readonly FleetHeartbeat[];
  /** VMs that may answer for the leader, the best first; none for a process that asks the leader itself. */
  readonly hops: () => readonly VmId[];
  readonly note: (message: string, fields: LogFields) => void;
  /** Called after each try that brought nothing. */
  readonly onSilence: () => void;
  /** Called after each answer. */
  readonly onView: (view: FleetView, before: FleetView) => void;
  /** What other processes have said to this one; only replicas pass it on. */
  readonly relayed: {
    readonly confirm: (term: number) => void;
    readonly take: () => readonly ForwardedHeartbeat[];
  };
}

/** See the module's comment. */
export class NodeWatch {
  private readonly backoff = new NodeBackoff();
  private current: FleetView = EMPTY_VIEW;
  private freshening: Promise<boolean> | undefined;
  private readonly hops = new NodeHops();
  /** Who gives the news; null for the leader itself. */
  private source: null | undefined | VmId;
  /** When each replica was last named by a replica of its group. */
  private readonly introduced = new Map<ReplicaId, MonotonicMs>();
  private stopped = false;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeWatchOptions) {}

  /** What is known now. */
  get view(): FleetView {
    return this.current;
  }

  /** Age of what is known, in milliseconds. */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.current.asOf;
  }

  /** Replicas of the control group, as far as known: by a leader's news, or by the word of replicas. */
  get controls(): readonly ReplicaId[] {
    const oldest = this.options.clock.monotonicMs() - INTRODUCED_COUNTS_MS;
    const introduced = [...this.introduced].filter(([, at]) => at > oldest).map(([id]) => id);
    return [...new Set([...this.current.news.controls, ...introduced])];
  }

  /** Asks until the process stops. */
  async run(): Promise<void> {
    this.options.caller.hosts().forEach((host) => void this.peekAt(host));
    while (!this.stopped) {
      if (await this.askAny()) {
        this.backoff.reset();
      } else {
        this.options.onSilence();
        await delay(this.backoff.nextMs());
      }
    }
  }

  /**
   * Asks the leader itself, once.
   *
   * @param waitMs longest hold while there is nothing new, in milliseconds
   * @returns whether the leader answered
   */
  async ask(waitMs: number): Promise<boolean> {
    const {caller} = this.options;
    const outcome = await this.askBy((call, tryMs) => caller.tryOnce(call, tryMs), waitMs, false);
    return outcome.kind === 'answered';
  }

  /**
   * Asks the leader itself unless what is known is new enough; several calls make one question.
   *
   * @param mostAgeMs age up to which it is, in milliseconds
   * @returns whether what is known now is new enough
   */
  async freshen(mostAgeMs: number): Promise<boolean> {
    if (this.ageMs > mostAgeMs) {
      await this.askForAll();
    }
    return this.ageMs <= mostAgeMs;
  }

  /**
   * Asks the leader itself for whatever may be newer than this moment; calls that come meanwhile make one question more.
   *
   * @returns whether what is known now is the latest as of the call or later
   */
  async confirm(): Promise<boolean> {
    const {clock} = this.options;
    const calledAt = clock.monotonicMs();
    // A question that is under way may have been answered before this call came.
    await this.freshening;
    while (this.current.asOf < calledAt && clock.monotonicMs() - calledAt < CONFIRM_MS) {
      if (!(await this.askForAll())) {
        await delay(CALL_AGAIN_MS);
      }
    }
    return this.current.asOf >= calledAt;
  }

  /** Asks the leader itself; whoever comes meanwhile waits for the same answer. */
  private askForAll(): Promise<boolean> {
    this.freshening ??= this.ask(0).finally(() => {
      this.freshening = undefined;
    });
    return this.freshening;
  }

  /**
   * Notes replicas that a replica has named.
   *
   * @param replicas the replicas
   */
  noteReplicas(replicas: readonly ReplicaId[]): void {
    const now = this.options.clock.monotonicMs();
    replicas.forEach((replica) => this.introduced.set(replica, now));
    for (const [replica, at] of this.introduced) {
      if (at <= now - INTRODUCED_COUNTS_MS) {
        this.introduced.delete(replica);
      }
    }
  }

  /** What this process was told, for others that know less; without proof that it is the latest. */
  told(): WatchAnswer {
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
   * Takes in what a replica in this process holds, which may be old: better than nothing after a start.
   *
   * @param answer what it holds
   */
  offer(answer: WatchAnswer): void {
    if (this.current.config === null) {
      this.take(answer, -Infinity);
    }
  }

  /**
   * Adds the gauge for the age of what is known.
   *
   * @param metrics the process's metrics
   */
  exposeMetrics(metrics: NodeMetrics): void {
    metrics.exposeGauge('stallpaddle_view_age_seconds', 'Age of what is known.', () => {
      return this.ageMs / SECOND_MS;
    });
    const help = 'Requests during whose runs engines ended.';
    metrics.exposeGauge('stallpaddle_suspects', help, () => this.view.news.suspects.length);
  }

  /** Asks no more. */
  stop(): void {
    this.stopped = true;
  }

  /** Asks the best VM that may answer for the leader, the next one if it does not, and the leader itself at last. */
  private async askAny(): Promise<boolean> {
    const {caller, clock, hops} = this.options;
    const order = hops();
    for (let tries = 0; tries < order.length && !this.stopped; tries++) {
      const host = this.hops.choose(order, clock.monotonicMs());
      if (host === undefined) {
        break;
      }
      const askHop = (call: TryRequest, tryMs: number) => caller.tryAt(host, call, tryMs);
      const outcome = await this.askBy(askHop, RELAYED_HOLD_MS, true);
      if (outcome.kind === 'answered') {
        this.noteSource(host);
        return true;
      }
      this.noteSilence(host, outcome.kind);
      const why = outcome.kind === 'notLeader' ? 'refused' : 'silent';
      this.hops.noteFailure(host, why, clock.monotonicMs());
    }
    const isAnswered = await this.ask(WATCH_HOLD_MS);
    if (isAnswered) {
      this.noteSource(null);
    }
    return isAnswered;
  }

  private async askBy(
    tryCall: (call: TryRequest, tryMs: number) => Promise<TryOutcome>,
    waitMs: number,
    mayRelay: boolean,
  ): Promise<TryOutcome> {
    const {clock, hellos, relayed} = this.options;
    const {config, fleet, term} = this.current;
    const request: FleetRequest = {
      hellos: hellos(),
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

  /** Notes a change of whom the news come from. */
  private noteSource(host: null | VmId): void {
    if (this.source !== host) {
      this.source = host;
      const from = host ?? 'leader';
      this.options.note('News come from another VM.', {from, term: this.current.term});
    }
  }

  private noteSilence(host: VmId, how: string): void {
    if (this.source === host) {
      this.source = undefined;
      const ageMs = Math.round(this.ageMs);
      this.options.note('A VM gives no news.', {ageMs, from: host, how});
    }
  }

  /**
   * Asks one host what it holds, until the first configuration is known or a leader has answered. All hosts
   * are asked side by side: after a loss of power some are still dark, and a question to them takes its whole
   * time.
   */
  private async peekAt(host: VmId): Promise<void> {
    const {caller} = this.options;
    const encoded = encodeValue({kind: 'peek'} satisfies FleetRequest);
    while (!this.stopped && this.current.config === null && this.ageMs === Infinity) {
      const request = {encoded, group: CONTROL_GROUP, query: true};
      const outcome = await caller.tryAt(host, request, PEEK_TRY_MS);
      if (outcome.kind === 'answered') {
        this.offer(outcome.result as WatchAnswer);
      }
      // Whoever answers but holds nothing will not hold anything at once.
      await delay(outcome.kind === 'answered' ? PEEK_AGAIN_MS : CALL_AGAIN_MS);
    }
  }

  private take(answer: WatchAnswer, sentAt: MonotonicMs): void {
    const before = this.current;
    this.current = applyWatchAnswer(before, answer, sentAt);
    this.options.onView(this.current, before);
  }
}
