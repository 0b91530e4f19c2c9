/** Fleet-wide rate limits of customers. */
import type {Clock, LogFields, MonotonicMs, VmId} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {encodeValue, hash32} from 'stallpaddle';
import {vmWeights} from 'stallpaddle-capacity';
import {
  type AskLimit,
  type AskVote,
  type LimitAnswer,
  type LimitAsk,
  LimitCandidates,
  type LimitDecision,
  LimitOwnerBuckets,
  limitOwners,
  LimitPauses,
  LimitShare,
  type LimitVote,
  type RateLimit,
  VOTERS,
} from 'stallpaddle-limits';

import {CONTROL_GROUP, SECOND_MS} from './NodeConstants';
import {NodeLimitBatches} from './NodeLimitBatches';
import {NodeLimitVotes} from './NodeLimitVotes';
import {hostOf} from './NodeSettings';

/** Timeout of a request to a limit owner, in milliseconds; it delays the caller's request. */
const ASK_TRY_MS = 120;

/** Pause before an owner that did not answer, or has no vote, is asked again, in milliseconds. */
const RETRY_MS: Readonly<Record<Outage['kind'], number>> = {silent: 500, unsure: 100};

/**
 * Time without an answer of an owner after which its deputy asks for the right to grant requests in its place, in milliseconds.
 * By then the votes for an owner that was cut off have ended, and the last requests that it granted have passed.
 */
const OWNER_TIMEOUT_MS = 600;

/** Failures of calls that are further apart don't show that the VM was unreachable in between, in milliseconds. */
const MAX_FAILURE_GAP_MS = 1_000;

/**
 * Age of the fleet status beyond which a VM neither acts as an owner nor asks one, in milliseconds. The status gets this
 * old only on a VM that is partitioned from the fleet, which may have been replaced as owner; a change of leaders is
 * shorter.
 */
const MAX_STATUS_AGE_MS = 6 * SECOND_MS;

/** Number of values of a hash. */
const HASH_RANGE = 2 ** 32;

/** Longest retry-after time given by a VM that only applies its local share of a limit, in milliseconds. */
const SHARE_RETRY_AFTER_MS = 500;

/** Dependencies of `NodeLimits`. */
export interface NodeLimitsOptions {
  readonly clock: Clock;
  readonly entries: () => readonly EntryView[];
  /** This VM. */
  readonly host: VmId;
  /** Whether VMs with more capacity own limits; otherwise all VMs count the same. */
  readonly isWeighted?: () => boolean;
  /** Whether VMs reject requests above a limit without asking for each; never where it is absent. */
  readonly isPausing?: () => boolean;
  /** A customer's configured limit; undefined for an unknown customer. */
  readonly limitOf: (customer: string) => RateLimit | undefined;
  readonly note: (message: string, fields: LogFields) => void;
  /** Number of entry VMs that are known without a fleet status; absent where none are. */
  readonly recordedEntries?: () => number;
  readonly tryAt: (host: VmId, request: TryRequest, tryMs: number) => Promise<TryOutcome>;
  /** Waits until a leader has confirmed a first fleet status, at most for a time; absent where nothing waits. */
  readonly untilConfirmed?: (maxMs: number) => Promise<void>;
  /** Age of the fleet status, in milliseconds. */
  readonly viewAgeMs: () => number;
}

/** Period during which an owner granted nothing to this VM: it did not answer, or had no vote. */
interface Outage {
  readonly kind: 'silent' | 'unsure';
  /** Time of the last try. */
  readonly lastAt: MonotonicMs;
  readonly since: MonotonicMs;
}

/** Period during which this VM grants the limits of an owner in its place. */
interface Replacement {
  readonly buckets: LimitOwnerBuckets;
  /** Start of the owner's outage. */
  readonly since: MonotonicMs;
}

const UNSURE: LimitAnswer = {kind: 'unsure'};

/**
 * Applies the customers' rate limits over the whole fleet: a VM asks the owner of a limit for each request. If the owner
 * does not answer, its deputy takes over once it has confirmed this itself and the votes for the owner have ended; until then,
 * each VM applies its local share of the limit, also an owner without a vote.
 */
export class NodeLimits {
  /** Limits that this VM grants as their owner. */
  private readonly owned = new LimitOwnerBuckets((customer) => this.share.isBusy(customer));
  /** VMs among which limits are distributed. */
  private readonly candidates = new LimitCandidates();
  /** Entry VMs from which `candidates` was computed. */
  private candidatesOf: readonly EntryView[] = [];
  /** Whether `candidates` was computed by the VMs' weights. */
  private isByWeight = false;
  /** Owners that this VM has replaced. */
  private readonly replaced = new Map<VmId, Replacement>();
  private readonly batches: NodeLimitBatches;
  private readonly pauses = new LimitPauses();
  private readonly share = new LimitShare((customer) => this.phaseOf(customer));
  /** Customers with a request that waits for the first fleet status. */
  private readonly waiting = new Set<string>();
  private readonly outages = new Map<VmId, Outage>();
  private readonly votes: NodeLimitVotes;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeLimitsOptions) {
    this.batches = new NodeLimitBatches({
      ask: (customer, count, rejected) =>
        this.askOwners({
          count: count > 1 ? count : undefined,
          customer,
          insteadOf: null,
          kind: 'askLimit',
          rejected: rejected > 0 ? rejected : undefined,
        }),
      clock: options.clock,
    });
    this.votes = new NodeLimitVotes({
      askAt: (voter, ask) => this.askVoteAt(voter, ask),
      clock: options.clock,
      host: options.host,
      note: options.note,
      onReplaced: () => this.owned.clear(),
    });
  }

  /**
   * Decides on one request of a customer.
   *
   * @param limit the customer's limit, above 0
   */
  async admit(limit: RateLimit): Promise<LimitDecision> {
    const answer = await this.askInTouch(limit);
    if (answer.kind !== 'unsure') {
      return answer;
    }
    const own = this.askShare(limit);
    const later =
      own.kind === 'over' && (await this.waitForFirstStatus(limit.customer))
        ? await this.askInTouch(limit)
        : UNSURE;
    return later.kind === 'unsure' ? own : later;
  }

  /** Asks the owner, unless this VM is partitioned. */
  private async askInTouch(limit: RateLimit): Promise<LimitAnswer> {
    const isPartitioned = this.options.viewAgeMs() > MAX_STATUS_AGE_MS;
    const answer = isPartitioned ? UNSURE : await this.ask(limit);
    this.share.note(limit.customer, answer);
    return answer;
  }

  /**
   * Waits for the first fleet status, with one request of each customer: its part may be far less than a request, and the
   * status is expected sooner than the request would come back.
   *
   * @returns whether there is a status now
   */
  private async waitForFirstStatus(customer: string): Promise<boolean> {
    const {untilConfirmed, viewAgeMs} = this.options;
    if (untilConfirmed === undefined || viewAgeMs() < Infinity || this.waiting.has(customer)) {
      return false;
    }
    this.waiting.add(customer);
    // A rejected request would stay away for as long.
    await untilConfirmed(SHARE_RETRY_AFTER_MS);
    this.waiting.delete(customer);
    return viewAgeMs() < Infinity;
  }

  private askShare(limit: RateLimit): LimitDecision {
    const {clock, entries, recordedEntries = () => 0} = this.options;
    // After a start there are no entry VMs in the fleet status until a leader is known.
    const vms = Math.max(1, entries().length || recordedEntries());
    const own = this.share.ask(limit, vms, clock.monotonicMs());
    return own.kind === 'over'
      ? {...own, retryAfterMs: Math.min(SHARE_RETRY_AFTER_MS, own.retryAfterMs)}
      : own;
  }

  /**
   * Returns the quota of a request that no engine ran.
   *
   * @param customer the customer
   */
  refund(customer: string): void {
    const [owner] = this.ownersOf(customer);
    if (owner !== undefined) {
      void this.askAt(owner, {customer, kind: 'returnLimit'});
    }
  }

  /**
   * Answers another VM, as the owner of a limit or as its deputy.
   *
   * @param ask the VM's request
   */
  async answer(ask: LimitAsk): Promise<LimitAnswer> {
    const {host, limitOf, viewAgeMs} = this.options;
    const {customer} = ask;
    const limit = limitOf(customer);
    // With an old fleet status this VM may have been replaced as owner.
    if (limit === undefined || viewAgeMs() > MAX_STATUS_AGE_MS) {
      return UNSURE;
    }
    const [owner, ...deputies] = this.ownersOf(customer);
    if (ask.kind === 'returnLimit') {
      this.owned.takeBack(limit);
      return UNSURE;
    }
    if (owner === host) {
      return (await this.votes.mayOwn(deputies.slice(0, VOTERS)))
        ? this.grant(this.owned, limit, ask)
        : UNSURE;
    }
    if (owner === undefined || ask.insteadOf !== owner || deputies[0] !== host) {
      return UNSURE;
    }
    return this.answerAsDeputy(owner, deputies.slice(1, VOTERS), limit, ask);
  }

  /**
   * Answers another VM, as a voter. With an old fleet status this VM doesn't know the owners. An owner that it can't reach gets no
   * vote, though it reaches this VM: others can't ask it.
   *
   * @param ask the VM's request
   */
  answerVote(ask: AskVote): LimitVote {
    const {owner, wants} = ask;
    if (this.options.viewAgeMs() > MAX_STATUS_AGE_MS) {
      return this.votes.abstain(owner);
    }
    if (wants === 'own') {
      if (this.isSilent(owner)) {
        return this.votes.abstain(owner);
      }
      this.outages.delete(owner);
    }
    const vote = this.votes.answer(ask);
    if (wants === 'replace' && !vote.isGranted) {
      void this.checkContact(owner);
    }
    return vote;
  }

  /** Finds out whether an owner that has this VM's vote can be reached. */
  private async checkContact(owner: VmId): Promise<void> {
    const vote = await this.askVoteAt(owner, {kind: 'voteLimitOwner', owner, wants: 'contact'});
    if (vote === undefined) {
      this.noteOutage(owner, 'silent');
    } else if (this.outages.get(owner)?.kind === 'silent') {
      this.outages.delete(owner);
    }
  }

  /** Asks the owner first, because it may be unreachable only for the VM that asks. */
  private async answerAsDeputy(
    owner: VmId,
    voters: readonly VmId[],
    limit: RateLimit,
    ask: AskLimit,
  ): Promise<LimitAnswer> {
    if (!this.isPaused(owner)) {
      const answer = await this.askAt(owner, {...ask, insteadOf: null});
      if (answer !== undefined) {
        return answer;
      }
    }
    const now = this.options.clock.monotonicMs();
    const silentMs = now - (this.outages.get(owner)?.since ?? now);
    if (silentMs < OWNER_TIMEOUT_MS || !(await this.votes.mayReplace(owner, voters))) {
      return UNSURE;
    }
    const {buckets} = this.replacementOf(owner, limit.customer);
    return this.grant(buckets, this.withoutOneShare(limit), ask);
  }

  /** Begins a replacement with each outage of the owner. */
  private replacementOf(owner: VmId, customer: string): Replacement {
    const {clock, note} = this.options;
    const since = this.outages.get(owner)?.since ?? clock.monotonicMs();
    const known = this.replaced.get(owner);
    if (known?.since === since) {
      return known;
    }
    const isBusy = (name: string): boolean => this.share.isBusy(name);
    const replacement = {buckets: new LimitOwnerBuckets(isBusy), since};
    this.replaced.set(owner, replacement);
    const silentMs = clock.monotonicMs() - since;
    note('The limit owner does not answer, so this VM replaces it.', {customer, owner, silentMs});
    return replacement;
  }

  /** A limit without the share of the silent owner, which grants that much if it is only cut off. */
  private withoutOneShare(limit: RateLimit): RateLimit {
    const vms = this.options.entries().length;
    return {...limit, ratePerSecond: limit.ratePerSecond * (1 - 1 / vms)};
  }

  /** Decides on requests of a limit. */
  private grant(buckets: LimitOwnerBuckets, limit: RateLimit, ask: AskLimit): LimitDecision {
    const now = this.options.clock.monotonicMs();
    return this.isPausing ? this.pauses.answer(buckets, limit, ask, now) : buckets.ask(limit, now);
  }

  /** Fraction of a request, by this VM and the customer. */
  private phaseOf(customer: string): number {
    return hash32(`${this.options.host} ${customer}`) / HASH_RANGE;
  }

  private get isPausing(): boolean {
    return this.options.isPausing?.() === true;
  }

  private ask(limit: RateLimit): Promise<LimitAnswer> {
    return this.isPausing
      ? this.batches.admit(limit)
      : this.askOwners({customer: limit.customer, insteadOf: null, kind: 'askLimit'});
  }

  private async askOwners(ask: AskLimit): Promise<LimitAnswer> {
    const {host} = this.options;
    const [owner, deputy] = this.ownersOf(ask.customer);
    if (owner === undefined) {
      return UNSURE;
    }
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

  /** An earlier release has no votes; its answer counts as one. */
  private async askVoteAt(voter: VmId, ask: AskVote): Promise<LimitVote | undefined> {
    const request = {encoded: encodeValue(ask), group: CONTROL_GROUP, query: true};
    const outcome = await this.options.tryAt(voter, request, ASK_TRY_MS);
    switch (outcome.kind) {
      case 'answered':
        return outcome.result as LimitVote;
      case 'notLeader':
        return {isGranted: true, kind: 'vote', replacements: 0};
      case 'unknown':
        return undefined;
    }
  }

  /** Undefined when the VM doesn't answer in time, or is an owner without a vote. */
  private async askAt(host: VmId, ask: LimitAsk): Promise<LimitAnswer | undefined> {
    const {tryAt} = this.options;
    if (host === this.options.host) {
      return this.answer(ask);
    }
    const request = {encoded: encodeValue(ask), group: CONTROL_GROUP, query: true};
    const outcome = await tryAt(host, request, ASK_TRY_MS);
    if (outcome.kind !== 'answered') {
      this.noteOutage(host, 'silent');
      return undefined;
    }
    const answer = outcome.result as LimitAnswer;
    if (ask.kind === 'askLimit' && ask.insteadOf === null && answer.kind === 'unsure') {
      this.noteOutage(host, 'unsure');
      return undefined;
    }
    this.outages.delete(host);
    return answer;
  }

  private noteOutage(host: VmId, kind: Outage['kind']): void {
    const now = this.options.clock.monotonicMs();
    const before = this.outages.get(host);
    const continues = before !== undefined && now - before.lastAt < MAX_FAILURE_GAP_MS;
    this.outages.set(host, {kind, lastAt: now, since: continues ? before.since : now});
  }

  private isPaused(host: VmId): boolean {
    const outage = this.outages.get(host);
    return outage !== undefined && this.sinceMs(outage) < RETRY_MS[outage.kind];
  }

  /** Whether the latest call to a VM, not long ago, had no answer. */
  private isSilent(host: VmId): boolean {
    const outage = this.outages.get(host);
    return outage?.kind === 'silent' && this.sinceMs(outage) < MAX_FAILURE_GAP_MS;
  }

  private sinceMs({lastAt}: Outage): number {
    return this.options.clock.monotonicMs() - lastAt;
  }

  private ownersOf(customer: string): readonly VmId[] {
    const entries = this.options.entries();
    const isByWeight = this.options.isWeighted?.() ?? false;
    if (entries !== this.candidatesOf || isByWeight !== this.isByWeight) {
      this.candidatesOf = entries;
      this.isByWeight = isByWeight;
      const hosts = entries.map(({address}) => hostOf(address));
      if (this.candidates.update(hosts, isByWeight ? vmWeights(entries) : null)) {
        const {current} = this.candidates;
        this.owned.keepOnly((other) => limitOwners(other, current)[0] === this.options.host);
      }
    }
    return limitOwners(customer, this.candidates.current);
  }
}
