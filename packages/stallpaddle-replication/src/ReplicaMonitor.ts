/**
 * Log lines about the role, the lease and the clock ticks of a replica.
 */
import type {Clock, Logger, MonotonicMs} from 'stallpaddle';

import type {Leadership, ReplicationState, ReplicationTiming} from './ReplicationTypes';

import {isVoter, tickPeriodMs} from './ReplicaTicker';
import {STALLED_COMMIT_TIMEOUTS} from './ReplicationConstants';
import {leadershipOf, quorumAckedAt} from './ReplicationLease';

/**
 * Time for which the delay of a late tick is reported, in milliseconds; spans several election timeouts, so that log
 * lines of a leader change include it.
 */
const TICK_DELAY_REPORT_MS = 2_000;

/** Minimum interval between log lines about failed elections, in milliseconds. */
const FAILED_ELECTION_LOG_MS = 5_000;

/** Why leadership ended. */
type EndOfLeadership = 'handedOver' | 'laterTerm' | 'nothingRecorded' | 'quorumSilent';

/**
 * Logs role changes, lease changes and late clock ticks. A process that is stalled, by its own work or by a lack of CPU
 * time, neither sends nor receives heartbeats; the delay of its ticks distinguishes this from a network failure.
 */
export class ReplicaMonitor {
  private nextTickAt: MonotonicMs;
  private latestDelay: {readonly at: MonotonicMs; readonly ms: number} = {at: -Infinity, ms: 0};
  private failedElectionLoggedAt: MonotonicMs = -Infinity;
  /** Leadership at the latest tick. */
  private leadership: Leadership = {kind: 'follows'};

  /**
   * @param clock clock of the process
   * @param logger logger of the process
   * @param timing timing of the group
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly timing: ReplicationTiming,
  ) {
    this.nextTickAt = clock.monotonicMs() + tickPeriodMs(timing);
  }

  /**
   * Sets when the next tick is due, after the schedule has changed.
   *
   * @param delayMs time until the tick, in milliseconds
   */
  expectTick(delayMs: number): void {
    this.nextTickAt = this.clock.monotonicMs() + delayMs;
  }

  /** Delay of the latest late tick of the last two seconds, in milliseconds; 0 if there was none. */
  get tickDelayMs(): number {
    return this.clock.monotonicMs() - this.latestDelay.at < TICK_DELAY_REPORT_MS
      ? this.latestDelay.ms
      : 0;
  }

  /**
   * Logs the state of the replica at its start.
   *
   * @param state state of the replica
   * @param blobEnd end of its bulk data, in bytes
   * @param replayed number of log entries that its snapshot does not cover
   */
  logOpened(state: ReplicationState, blobEnd: number, replayed: number): void {
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
   * Records a tick, before it is processed.
   *
   * @param state state of the replica
   */
  recordTick(state: ReplicationState): void {
    const {group, role} = state;
    const now = this.clock.monotonicMs();
    const lateMs = Math.max(0, now - this.nextTickAt);
    this.nextTickAt = now + tickPeriodMs(this.timing, isVoter(state));
    if (lateMs >= this.tickDelayMs) {
      this.latestDelay = {at: now, ms: lateMs};
    }
    if (lateMs > this.timing.heartbeatMs) {
      const fields = {group, lateMs: Math.round(lateMs), role: role.kind};
      this.logger.warn('A clock tick of this replica was late.', fields);
    }
  }

  /**
   * Logs a change of the lease, after a tick. A lease that lapses and is renewed within a term changes no role, but
   * whether the replica may decide.
   *
   * @param state state of the replica
   */
  recordLease(state: ReplicationState): void {
    const before = this.leadership;
    this.leadership = leadershipOf(state, this.clock.monotonicMs());
    const {group, term} = state;
    if (before.kind === 'leads' && this.leadership.kind === 'unsure') {
      this.logger.info('The lease of this replica has lapsed.', {
        group,
        term,
        ...this.quorumFields(state),
      });
    }
    if (before.kind === 'unsure' && this.leadership.kind === 'leads') {
      this.logger.info('The lease of this replica was renewed.', {group, term});
    }
  }

  /**
   * Logs a change of role.
   *
   * @param before state before a step
   * @param after state after the step
   * @returns whether leadership ended
   */
  recordRole(before: ReplicationState, after: ReplicationState): boolean {
    const {group, term} = after;
    if (before.role.kind !== 'leader' && after.role.kind === 'leader') {
      const {commit, log} = after;
      const fields = {commit, lastIndex: log.lastIndex, voters: log.members.voters.join(',')};
      this.logger.info('This replica is the leader.', {group, term, ...fields});
    }
    this.logFailedElection(before, after);
    if (before.role.kind === 'follower' && after.role.kind === 'preCandidate') {
      const silentMs = Math.round(this.clock.monotonicMs() - before.leaderContactAt);
      const turnLateMs = Math.round(this.tickDelayMs);
      this.logger.info('This replica has no contact with a leader.', {
        group,
        silentMs,
        term,
        turnLateMs,
      });
    }
    const isEnd = before.role.kind === 'leader' && after.role.kind !== 'leader';
    if (isEnd) {
      const fields = {cause: this.causeOf(before, after), newTerm: term, term: before.term};
      this.logger.info('This replica is no longer the leader.', {
        group,
        ...fields,
        ...this.quorumFields(before),
      });
    }
    return isEnd;
  }

  /** Logs which voters did not answer in a failed election, at most once per interval. */
  private logFailedElection(before: ReplicationState, after: ReplicationState): void {
    const {role} = before;
    const isNewElection =
      after.role.kind === 'preCandidate' && after.electionCount > before.electionCount;
    const now = this.clock.monotonicMs();
    if (
      !isNewElection ||
      !('votes' in role) ||
      now - this.failedElectionLoggedAt < FAILED_ELECTION_LOG_MS
    ) {
      return;
    }
    this.failedElectionLoggedAt = now;
    const {group, log, term} = before;
    const {voters} = log.members;
    this.logger.info('No majority answered in an election.', {
      answered: voters.filter((voter) => role.votes.has(voter)).join(','),
      group,
      lastIndex: log.lastIndex,
      missing: voters.filter((voter) => !role.votes.has(voter)).join(','),
      term,
    });
  }

  private quorumFields(state: ReplicationState): {
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
    const stalledSince = before.role.kind === 'leader' ? before.role.commitAdvancedAt : now;
    const isStalled = now - stalledSince > electionTimeoutMs * STALLED_COMMIT_TIMEOUTS;
    return isStalled ? 'nothingRecorded' : 'handedOver';
  }
}
