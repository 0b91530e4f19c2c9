/**
 * Keeps what a process knows of the fleet, by asking the control group's leader again and again.
 */

import type {Clock, MonotonicMs, ReplicaId, VmId} from 'stallpaddle';

import {delay, encodeValue} from 'stallpaddle';
import {
  EMPTY_VIEW,
  type FleetRequest,
  type FleetView,
  type Hello,
  takeAnswer,
  type WatchAnswer,
} from 'stallpaddle-fleet';

import type {NodeCaller} from './NodeCaller';
import type {NodeMetrics} from './NodeMetrics';

import {
  CALL_AGAIN_MS,
  CONTROL_GROUP,
  INTRODUCED_COUNTS_MS,
  PEEK_AGAIN_MS,
  PEEK_TRY_MS,
  SECOND_MS,
  WATCH_HOLD_MS,
  WATCH_TRY_MS,
} from './NodeConstants';

/** What the watch needs of its process. */
export interface NodeWatchOptions {
  readonly caller: NodeCaller;
  readonly clock: Clock;
  /** What each part of the process says of itself now. */
  readonly hellos: () => readonly Hello[];
  /** Called after each answer. */
  readonly onView: (view: FleetView, before: FleetView) => void;
}

/** See the module's comment. */
export class NodeWatch {
  private current: FleetView = EMPTY_VIEW;
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
      if (!(await this.ask(WATCH_HOLD_MS))) {
        await delay(CALL_AGAIN_MS);
      }
    }
  }

  /**
   * Asks once.
   *
   * @param waitMs longest hold while there is nothing new, in milliseconds
   * @returns whether the leader answered
   */
  async ask(waitMs: number): Promise<boolean> {
    const {caller, clock, hellos} = this.options;
    const {config, epoch, fleet} = this.current;
    const request: FleetRequest = {
      hellos: hellos(),
      kind: 'watch',
      known: {config: config?.version ?? null, epoch, fleet},
      waitMs,
    };
    const sentAt = clock.monotonicMs();
    const outcome = await caller.tryOnce(
      {encoded: encodeValue(request), group: CONTROL_GROUP, query: true},
      WATCH_TRY_MS,
    );
    if (outcome.kind !== 'answered') {
      return false;
    }
    this.take(outcome.result as WatchAnswer, sentAt);
    return true;
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
    return {config, epoch: '', fleet: 0, heldMs: 0, news, proven: false};
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
  }

  /** Asks no more. */
  stop(): void {
    this.stopped = true;
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
    this.current = takeAnswer(before, answer, sentAt);
    this.options.onView(this.current, before);
  }
}
