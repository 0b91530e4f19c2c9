/**
 * What a replica's log says of its role, its lease and its turns. A process that is held up, by its own work or by a VM
 * short of processor time, sends no heartbeats and hears none: whoever reads the log has to tell that from a silent
 * network.
 */
import type {Clock, Logger, MonotonicMs} from 'stallpaddle';

import type {Leadership, ReplicationState, ReplicationTiming} from './ReplicationTypes';

import {isVoter, tickPeriodMs} from './ReplicaTicker';
import {STALLED_COMMIT_TIMEOUTS} from './ReplicationConstants';
import {leadershipOf, quorumAckedAt} from './ReplicationLease';

/** Time for which the latest late turn is told, in milliseconds: some election timeouts, so a change of leaders shows it. */
const TOLD_MS = 2_000;

/** Time between lines that no majority answers, in milliseconds: some elections. */
const MISSING_AGAIN_MS = 5_000;

/** Why a replica leads no more. */
type EndOfLeadership = 'handedOver' | 'laterTerm' | 'nothingRecorded' | 'quorumSilent';

/** See the module's comment. */
export class ReplicaMonitor {
  private dueAt: MonotonicMs;
  private latestLate: {readonly at: MonotonicMs; readonly ms: number} = {at: -Infinity, ms: 0};
  private missingToldAt: MonotonicMs = -Infinity;
  /** As the latest turn found it. */
  private leadership: Leadership = {kind: 'follows'};

  /**
   * @param clock this process's clock
   * @param logger writes the lines
   * @param timing times of the group
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly timing: ReplicationTiming,
  ) {
    this.dueAt = clock.monotonicMs() + tickPeriodMs(timing);
  }

  /**
   * Notes that the next turn is due after another time than before.
   *
   * @param periodMs the time, in milliseconds
   */
  expectTurn(periodMs: number): void {
    this.dueAt = this.clock.monotonicMs() + periodMs;
  }

  /** Delay of the latest late turn of the last two seconds, in milliseconds. */
  get tickDelayMs(): number {
    return this.clock.monotonicMs() - this.latestLate.at < TOLD_MS ? this.latestLate.ms : 0;
  }

  /**
   * Notes what the replica holds at its start.
   *
   * @param state its state
   * @param blobEnd where its bulk data ends, in bytes
   * @param replayed log entries found that its snapshot doesn't cover
   */
  noteOpened(state: ReplicationState, blobEnd: number, replayed: number): void {
    const {commit, group, log, self, term} = state;
    const {learners, voters} = log.members;
    this.logger.info('This replica has opened.', {
      blobEnd,
      commit,
      group,
      lastIndex: log.lastIndex,
      lastTerm: log.lastTerm,
      learners: learners.join(','),
      replayed,
      self,
      snapshotIndex: log.snapshot.index,
      term,
      voters: voters.join(','),
    });
  }

  /**
   * Notes a turn, before it is taken.
   *
   * @param state the replica's state
   */
  noteTurn(state: ReplicationState): void {
    const {group, role} = state;
    const now = this.clock.monotonicMs();
    const lateMs = Math.max(0, now - this.dueAt);
    this.dueAt = now + tickPeriodMs(this.timing, isVoter(state));
    if (lateMs >= this.tickDelayMs) {
      this.latestLate = {at: now, ms: lateMs};
    }
    if (lateMs > this.timing.heartbeatMs) {
      const fields = {group, lateMs: Math.round(lateMs), role: role.kind};
      this.logger.warn('A turn of this replica came late.', fields);
    }
  }

  /**
   * Notes the lease, after a turn: one that lapses and runs again within a term changes no role, but what others may
   * ask of this replica.
   *
   * @param state the replica's state
   */
  noteLease(state: ReplicationState): void {
    const before = this.leadership;
    this.leadership = leadershipOf(state, this.clock.monotonicMs());
    const {group, term} = state;
    if (before.kind === 'leads' && this.leadership.kind === 'unsure') {
      this.logger.info('The lease of this replica has lapsed.', {
        group,
        term,
        ...this.silence(state),
      });
    }
    if (before.kind === 'unsure' && this.leadership.kind === 'leads') {
      this.logger.info('The lease of this replica runs.', {group, term});
    }
  }

  /**
   * Notes a change of role.
   *
   * @param before state before a step
   * @param after state after it
   * @returns whether leadership ended
   */
  noteRole(before: ReplicationState, after: ReplicationState): boolean {
    const {group, term} = after;
    if (before.role.kind !== 'leader' && after.role.kind === 'leader') {
      const {commit, log} = after;
      const fields = {commit, lastIndex: log.lastIndex, voters: log.members.voters.join(',')};
      this.logger.info('This replica leads.', {group, term, ...fields});
    }
    this.noteMajority(before, after);
    if (before.role.kind === 'follower' && after.role.kind === 'preCandidate') {
      const silentMs = Math.round(this.clock.monotonicMs() - before.leaderContactAt);
      const turnLateMs = Math.round(this.tickDelayMs);
      this.logger.info('This replica hears no leader.', {group, silentMs, term, turnLateMs});
    }
    const isEnd = before.role.kind === 'leader' && after.role.kind !== 'leader';
    if (isEnd) {
      const fields = {cause: this.causeOf(before, after), newTerm: term, term: before.term};
      this.logger.info('This replica leads no more.', {group, ...fields, ...this.silence(before)});
    }
    return isEnd;
  }

  /** An election that nobody won: who answered, of whom. Told now and then while it lasts. */
  private noteMajority(before: ReplicationState, after: ReplicationState): void {
    const {role} = before;
    const isNext = after.role.kind === 'preCandidate' && after.electionCount > before.electionCount;
    const now = this.clock.monotonicMs();
    if (!isNext || !('votes' in role) || now - this.missingToldAt < MISSING_AGAIN_MS) {
      return;
    }
    this.missingToldAt = now;
    const {group, log, term} = before;
    const {voters} = log.members;
    this.logger.info('No majority answers this replica.', {
      answered: voters.filter((voter) => role.votes.has(voter)).join(','),
      group,
      lastIndex: log.lastIndex,
      missing: voters.filter((voter) => !role.votes.has(voter)).join(','),
      term,
    });
  }

  private silence(state: ReplicationState): {
    readonly quorumSilentMs: number;
    readonly turnLateMs: number;
  } {
    const now = this.clock.monotonicMs();
    const quorumSilentMs = Math.round(now - quorumAckedAt(state, now));
    return {quorumSilentMs, turnLateMs: Math.round(this.tickDelayMs)};
  }

  private causeOf(before: ReplicationState, after: ReplicationState): EndOfLeadership {
    const {electionTimeoutMs} = this.timing;
    const now = this.clock.monotonicMs();
    if (after.term > before.term) {
      return 'laterTerm';
    }
    if (now - quorumAckedAt(before, now) > electionTimeoutMs) {
      return 'quorumSilent';
    }
    const waitsSince = before.role.kind === 'leader' ? before.role.commitAdvancedAt : now;
    const isStuck = now - waitsSince > electionTimeoutMs * STALLED_COMMIT_TIMEOUTS;
    return isStuck ? 'nothingRecorded' : 'handedOver';
  }
}
