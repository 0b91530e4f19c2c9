/**
 * Votes on who grants the limits of an owner: the owner itself, or the deputies in its place. Of an owner and its first two
 * deputies two must agree, so that an owner that is cut off has lost its right before a deputy gets it.
 */
import type {MonotonicMs, VmId} from 'stallpaddle';

import type {LimitVote} from './LimitTypes';

/** Time for which a vote binds, in milliseconds. The candidate counts it from its request, the voter from its answer. */
export const VOTE_MS = 500;

/** Number of deputies that vote on an owner. */
export const VOTERS = 2;

/** What one VM has voted on the owners of limits. */
export class LimitVotes {
  private readonly ownedUntil = new Map<VmId, MonotonicMs>();
  /** Votes for replacements by other VMs. */
  private readonly replacedUntil = new Map<VmId, MonotonicMs>();
  /** Votes for replacements by this VM, which it may withdraw. */
  private readonly replacedHereUntil = new Map<VmId, MonotonicMs>();
  /** Number of votes for the replacement of an owner. */
  private readonly replacements = new Map<VmId, number>();

  /**
   * @param startedAt start of the process, which doesn't know the votes of an earlier one
   */
  constructor(private readonly startedAt: MonotonicMs) {}

  /**
   * Votes for an owner, unless another deputy has this VM's vote. This VM no longer replaces the owner itself.
   *
   * @param owner the owner
   * @param now the current time
   */
  own(owner: VmId, now: MonotonicMs): LimitVote {
    this.replacedHereUntil.delete(owner);
    const isGranted = this.isFree(this.replacedUntil, owner, now);
    if (isGranted) {
      this.ownedUntil.set(owner, now + VOTE_MS);
    }
    return this.answer(owner, isGranted);
  }

  /**
   * Votes for the replacement of an owner by another VM, unless the owner has this VM's vote.
   *
   * @param owner the owner
   * @param now the current time
   */
  replace(owner: VmId, now: MonotonicMs): LimitVote {
    return this.answer(owner, this.voteAgainst(owner, this.replacedUntil, now));
  }

  /**
   * Votes for the replacement of an owner by this VM itself.
   *
   * @param owner the owner
   * @param now the current time
   * @returns whether the owner doesn't have this VM's vote
   */
  replaceHere(owner: VmId, now: MonotonicMs): boolean {
    return this.voteAgainst(owner, this.replacedHereUntil, now);
  }

  /**
   * Whether this VM could vote for the replacement of an owner.
   *
   * @param owner the owner
   * @param now the current time
   */
  mayReplace(owner: VmId, now: MonotonicMs): boolean {
    return this.isFree(this.ownedUntil, owner, now);
  }

  /**
   * Gives no vote.
   *
   * @param owner the owner
   */
  abstain(owner: VmId): LimitVote {
    return this.answer(owner, false);
  }

  private voteAgainst(owner: VmId, votes: Map<VmId, MonotonicMs>, now: MonotonicMs): boolean {
    const isFree = this.mayReplace(owner, now);
    if (isFree) {
      votes.set(owner, now + VOTE_MS);
      this.replacements.set(owner, (this.replacements.get(owner) ?? 0) + 1);
    }
    return isFree;
  }

  /** Whether no vote binds this VM, nor one that it may have given before it started. */
  private isFree(votes: ReadonlyMap<VmId, MonotonicMs>, owner: VmId, now: MonotonicMs): boolean {
    return now >= Math.max(votes.get(owner) ?? -Infinity, this.startedAt + VOTE_MS);
  }

  private answer(owner: VmId, isGranted: boolean): LimitVote {
    return {isGranted, kind: 'vote', replacements: this.replacements.get(owner) ?? 0};
  }
}
