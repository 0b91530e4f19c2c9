/** A VM's right to grant limits, as their owner or in its place. */
import type {Clock, LogFields, MonotonicMs, VmId} from 'stallpaddle';

import {type AskVote, type LimitVote, LimitVotes, VOTE_MS} from 'stallpaddle-limits';

/** Remaining time of a vote below which it is asked for again, in milliseconds. */
const RENEW_BELOW_MS = VOTE_MS / 2;

/** Pause before a voter that did not give its vote is asked again, in milliseconds. */
const VOTE_RETRY_MS = 100;

/** Time between two log lines of an owner that lacks votes, in milliseconds. */
const NOTE_INTERVAL_MS = 1_000;

/** Answer to a request for a vote; undefined where the voter did not answer in time. */
export type VoteAnswer = LimitVote | undefined;

/** Dependencies of `NodeLimitVotes`. */
export interface NodeLimitVotesOptions {
  readonly askAt: (voter: VmId, ask: AskVote) => Promise<VoteAnswer>;
  readonly clock: Clock;
  /** This VM. */
  readonly host: VmId;
  readonly note: (message: string, fields: LogFields) => void;
  /** Called before this VM owns limits again that others may have granted in its place. */
  readonly onReplaced: () => void;
}

/** Votes of one VM for an owner or its replacement. */
interface HeldVote {
  /** Time from which on it may be asked for again. */
  askAfter: MonotonicMs;
  asking: Promise<boolean> | undefined;
  /** The voter's number of replacements at its last answer. */
  replacements: number;
  until: MonotonicMs;
}

/** Resolves to true with the first that does, and else to false once all have. */
function anyTrue(answers: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    const all = answers.map(async (answer) => {
      if (await answer) {
        resolve(true);
      }
    });
    void Promise.all(all).then(() => resolve(false));
  });
}

/**
 * Holds the votes of other VMs, asks for them as they are needed, and gives this VM's own. An owner needs the vote of one of
 * its first two deputies; a deputy needs the other one's, and its own.
 */
export class NodeLimitVotes {
  /** Votes held, by owner and voter. */
  private readonly held = new Map<string, HeldVote>();
  private notedAt: MonotonicMs = -Infinity;
  private readonly own: LimitVotes;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeLimitVotesOptions) {
    this.own = new LimitVotes(options.clock.monotonicMs());
  }

  /**
   * Answers another VM.
   *
   * @param ask the VM's request
   */
  answer({owner, wants}: AskVote): LimitVote {
    const now = this.options.clock.monotonicMs();
    switch (wants) {
      case 'contact':
        return this.own.abstain(owner);
      case 'own':
        return this.own.own(owner, now);
      case 'replace':
        return this.own.replace(owner, now);
    }
  }

  /**
   * Gives another VM no vote.
   *
   * @param owner the owner that the vote is about
   */
  abstain(owner: VmId): LimitVote {
    return this.own.abstain(owner);
  }

  /**
   * Whether this VM may grant limits that it owns.
   *
   * @param voters the first deputies
   */
  async mayOwn(voters: readonly VmId[]): Promise<boolean> {
    const mayOwn = voters.length === 0 || (await this.hasVote(this.options.host, voters, 'own'));
    if (!mayOwn) {
      this.noteLack(voters);
    }
    return mayOwn;
  }

  private noteLack(voters: readonly VmId[]): void {
    const now = this.options.clock.monotonicMs();
    if (now - this.notedAt >= NOTE_INTERVAL_MS) {
      this.notedAt = now;
      this.options.note('This owner of limits has no vote, so it grants only its share.', {
        voters: voters.join(),
      });
    }
  }

  /**
   * Whether this VM may grant the limits of an owner in its place.
   *
   * @param owner the owner
   * @param voters the other deputies that vote
   */
  async mayReplace(owner: VmId, voters: readonly VmId[]): Promise<boolean> {
    const {clock} = this.options;
    return (
      this.own.mayReplace(owner, clock.monotonicMs()) &&
      (await this.hasVote(owner, voters, 'replace')) &&
      this.own.replaceHere(owner, clock.monotonicMs())
    );
  }

  /** Whether one of the voters has given its vote; asks for votes that end soon, and waits if none is held. */
  private async hasVote(
    owner: VmId,
    voters: readonly VmId[],
    wants: AskVote['wants'],
  ): Promise<boolean> {
    const now = this.options.clock.monotonicMs();
    const votes = voters.map((voter) => ({vote: this.heldOf(owner, voter), voter}));
    const answers = votes
      .filter(({vote}) => vote.until - now < RENEW_BELOW_MS)
      .map(({vote, voter}) => this.renew(vote, voter, {kind: 'voteLimitOwner', owner, wants}));
    return votes.some(({vote}) => now < vote.until) || anyTrue(answers);
  }

  private heldOf(owner: VmId, voter: VmId): HeldVote {
    const key = `${owner} ${voter}`;
    const known = this.held.get(key);
    if (known !== undefined) {
      return known;
    }
    const vote = {askAfter: -Infinity, asking: undefined, replacements: 0, until: -Infinity};
    this.held.set(key, vote);
    return vote;
  }

  private renew(vote: HeldVote, voter: VmId, ask: AskVote): Promise<boolean> {
    if (this.options.clock.monotonicMs() < vote.askAfter) {
      return Promise.resolve(false);
    }
    vote.asking ??= this.askFor(vote, voter, ask).finally(() => {
      vote.asking = undefined;
    });
    return vote.asking;
  }

  private async askFor(vote: HeldVote, voter: VmId, ask: AskVote): Promise<boolean> {
    const {askAt, clock, host, onReplaced} = this.options;
    const sentAt = clock.monotonicMs();
    const answer = await askAt(voter, ask);
    if (answer !== undefined && answer.replacements !== vote.replacements) {
      vote.replacements = answer.replacements;
      if (ask.owner === host) {
        onReplaced();
      }
    }
    if (answer?.isGranted !== true) {
      vote.askAfter = clock.monotonicMs() + VOTE_RETRY_MS;
      return false;
    }
    vote.until = sentAt + VOTE_MS;
    return clock.monotonicMs() < vote.until;
  }
}
