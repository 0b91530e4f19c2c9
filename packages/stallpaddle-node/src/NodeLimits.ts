/**
 * Limits on customers' rates over the whole fleet: each request of a limited customer is asked for at the VM that owns the
 * limit. While that VM is silent another one takes its place, once it has found so itself; until then each VM grants its own
 * part.
 */
import type {Clock, LogFields, MonotonicMs, VmId} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {encodeValue} from 'stallpaddle';
import {
  type AskLimit,
  type LimitAnswer,
  type LimitAsk,
  type LimitDecision,
  LimitKeeper,
  limitKeepers,
  limitOwners,
  LimitShare,
  type RateLimit,
} from 'stallpaddle-limits';

import {CONTROL_GROUP, SECOND_MS} from './NodeConstants';
import {hostOf} from './NodeSettings';

/** Longest wait for an owner, in milliseconds: a turn of a busy VM, and half of what a caller's first event may take. */
const ASK_TRY_MS = 120;

/** Time for which an owner that was silent is not asked again, in milliseconds. */
const SILENT_PAUSE_MS = 500;

/**
 * Silence of an owner after which another VM grants in its place, in milliseconds. Its last grants are over by then, and it is
 * not merely slow.
 */
const OWNER_SILENT_MS = 1_000;

/**
 * Age of news beyond which a VM neither owns a limit nor asks who does, in milliseconds. Leaders are replaced sooner, and without
 * one nobody's limits move; who hears nothing for so long is alone.
 */
const OLD_NEWS_MS = 6 * SECOND_MS;

/** Longest time after which a caller is told to come back by a VM that knows its own part of a limit only, in milliseconds. */
const PART_AGAIN_MS = 500;

/** What it needs of its process. */
export interface NodeLimitsOptions {
  readonly clock: Clock;
  readonly entries: () => readonly EntryView[];
  /** This VM. */
  readonly host: VmId;
  /** A customer's limit as configured now; undefined for one that isn't known. */
  readonly limitOf: (customer: string) => RateLimit | undefined;
  readonly note: (message: string, fields: LogFields) => void;
  readonly tryAt: (host: VmId, request: TryRequest, tryMs: number) => Promise<TryOutcome>;
  /** Age of what is known of the fleet, in milliseconds. */
  readonly viewAgeMs: () => number;
}

/** An owner that did not answer this VM. */
interface Silence {
  /** When it was tried last. */
  readonly lastAt: MonotonicMs;
  readonly since: MonotonicMs;
}

const UNSURE: LimitAnswer = {kind: 'unsure'};

/** See the module's comment. */
export class NodeLimits {
  private readonly keeper = new LimitKeeper();
  private keepers: readonly VmId[] = [];
  /** Entry VMs from which `keepers` was made. */
  private keepersOf: readonly EntryView[] = [];
  /** Owners in whose place this VM grants, by the begin of their silence. */
  private readonly replaced = new Map<VmId, MonotonicMs>();
  private readonly share = new LimitShare();
  private readonly silences = new Map<VmId, Silence>();

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeLimitsOptions) {}

  /**
   * Asks for one request of a customer.
   *
   * @param limit the customer's limit, above 0
   */
  async admit(limit: RateLimit): Promise<LimitDecision> {
    const {clock, entries, viewAgeMs} = this.options;
    const isAlone = viewAgeMs() > OLD_NEWS_MS;
    const answer = isAlone ? UNSURE : await this.askOwners(limit.customer);
    this.share.note(limit.customer, answer);
    if (answer.kind !== 'unsure') {
      return answer;
    }
    const own = this.share.ask(limit, Math.max(1, entries().length), clock.monotonicMs());
    return own.kind === 'over'
      ? {...own, retryAfterMs: Math.min(PART_AGAIN_MS, own.retryAfterMs)}
      : own;
  }

  /**
   * Gives back what was granted to a request that no engine ran.
   *
   * @param customer the customer
   */
  giveBack(customer: string): void {
    const [owner] = this.ownersOf(customer);
    if (owner !== undefined) {
      void this.askAt(owner, {customer, kind: 'returnLimit'});
    }
  }

  /**
   * Answers another VM, as an owner or in its place.
   *
   * @param ask what it asks
   */
  async answer(ask: LimitAsk): Promise<LimitAnswer> {
    const {clock, host, limitOf, viewAgeMs} = this.options;
    const {customer} = ask;
    const limit = limitOf(customer);
    // Who knows only old news may have been replaced by now.
    if (limit === undefined || viewAgeMs() > OLD_NEWS_MS) {
      return UNSURE;
    }
    const [owner] = this.ownersOf(customer);
    if (ask.kind === 'returnLimit') {
      this.keeper.takeBack(limit);
      return UNSURE;
    }
    if (owner === host) {
      return this.keeper.ask(limit, clock.monotonicMs());
    }
    if (ask.insteadOf === null || ask.insteadOf !== owner) {
      return UNSURE;
    }
    return this.answerFor(owner, limit);
  }

  /** Asks the owner first: it may be silent only to whoever asks here. */
  private async answerFor(owner: VmId, limit: RateLimit): Promise<LimitAnswer> {
    const {clock, note} = this.options;
    const {customer} = limit;
    if (!this.isPaused(owner)) {
      const answer = await this.askAt(owner, {customer, insteadOf: null, kind: 'askLimit'});
      if (answer !== undefined) {
        return answer;
      }
    }
    const now = clock.monotonicMs();
    const silentMs = now - (this.silences.get(owner)?.since ?? now);
    if (silentMs < OWNER_SILENT_MS) {
      return UNSURE;
    }
    const {since} = this.silences.get(owner)!;
    if (this.replaced.get(owner) !== since) {
      this.replaced.set(owner, since);
      note('The owner of limits is silent, and replaced.', {customer, owner, silentMs});
    }
    return this.keeper.ask(limit, now);
  }

  private async askOwners(customer: string): Promise<LimitAnswer> {
    const {host} = this.options;
    const [owner, deputy] = this.ownersOf(customer);
    if (owner === undefined) {
      return UNSURE;
    }
    const ask: AskLimit = {customer, insteadOf: null, kind: 'askLimit'};
    if (owner === host) {
      return this.answer(ask);
    }
    const answer = this.isPaused(owner) ? undefined : await this.askAt(owner, ask);
    if (answer !== undefined || deputy === undefined) {
      return answer ?? UNSURE;
    }
    const instead: AskLimit = {...ask, insteadOf: owner};
    if (deputy === host) {
      return this.answer(instead);
    }
    return this.isPaused(deputy) ? UNSURE : ((await this.askAt(deputy, instead)) ?? UNSURE);
  }

  /** Undefined when nobody answers in time. */
  private async askAt(host: VmId, ask: LimitAsk): Promise<LimitAnswer | undefined> {
    const {clock, tryAt} = this.options;
    if (host === this.options.host) {
      return this.answer(ask);
    }
    const request = {encoded: encodeValue(ask), group: CONTROL_GROUP, query: true};
    const outcome = await tryAt(host, request, ASK_TRY_MS);
    if (outcome.kind === 'answered') {
      this.silences.delete(host);
      return outcome.result as LimitAnswer;
    }
    const now = clock.monotonicMs();
    const before = this.silences.get(host);
    // A silence that nobody looked at for a while is no long one.
    const goesOn = before !== undefined && now - before.lastAt < OWNER_SILENT_MS;
    this.silences.set(host, {lastAt: now, since: goesOn ? before.since : now});
    return undefined;
  }

  private isPaused(host: VmId): boolean {
    const silence = this.silences.get(host);
    return (
      silence !== undefined && this.options.clock.monotonicMs() - silence.lastAt < SILENT_PAUSE_MS
    );
  }

  private ownersOf(customer: string): readonly VmId[] {
    const entries = this.options.entries();
    if (entries !== this.keepersOf) {
      this.keepersOf = entries;
      this.keepers = limitKeepers(entries.map(({address}) => hostOf(address)));
      this.keeper.keepOnly((other) => limitOwners(other, this.keepers)[0] === this.options.host);
    }
    return limitOwners(customer, this.keepers);
  }
}
