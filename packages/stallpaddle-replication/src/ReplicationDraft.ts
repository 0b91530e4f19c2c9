/**
 * Mutable draft of the next state. Functions whose names begin with `$` change the draft and may only be called within
 * a step.
 */
import type {MonotonicMs, ReplicaId} from 'stallpaddle';

import {hash32} from 'stallpaddle';

import type {
  HardState,
  LogEntry,
  MessageBody,
  ReplicationEffect,
  ReplicationState,
  ReplicationStepResult,
  Role,
} from './ReplicationTypes';

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};

/** Next state of a replica and the effects collected so far. */
export interface ReplicationDraft extends Mutable<ReplicationState> {
  readonly effects: ReplicationEffect[];
  readonly now: MonotonicMs;
}

const HASH_RANGE = 4_294_967_296;

/**
 * Creates a draft of the next state.
 *
 * @param state current state
 * @param now monotonic time of the event
 */
export function openDraft(state: ReplicationState, now: MonotonicMs): ReplicationDraft {
  return {...state, effects: [], now};
}

/**
 * Returns the finished state and its effects.
 *
 * @param draft finished draft
 */
export function closeDraft(draft: ReplicationDraft): ReplicationStepResult {
  const {effects, now: _now, ...state} = draft;
  return {effects, state};
}

/**
 * Adds an effect for the driver to execute.
 *
 * @param draft draft of the running step
 * @param effect the effect
 */
export function $emit(draft: ReplicationDraft, effect: ReplicationEffect): void {
  draft.effects.push(effect);
}

/**
 * Sends a message in the current term.
 *
 * @param draft draft of the running step
 * @param to receiver
 * @param body what to send
 * @param afterPersist whether the message must wait until all earlier writes are synced
 */
export function $send(
  draft: ReplicationDraft,
  to: ReplicaId,
  body: MessageBody,
  afterPersist: boolean,
): void {
  const message = {body, from: draft.self, group: draft.group, term: draft.term, to};
  $emit(draft, {afterPersist, kind: 'send', message});
}

/**
 * Requests a write of the hard state and entries.
 *
 * @param draft draft of the running step
 * @param entries entries to write, if any
 */
export function $persist(draft: ReplicationDraft, entries: readonly LogEntry[]): void {
  const {commit, term, votedFor} = draft;
  const hardState: HardState = {commit, term, votedFor};
  $emit(draft, {entries, hardState, kind: 'persist'});
}

/**
 * Draws the next election time, between one and two election timeouts from now. The draw is a hash of the replica and a
 * counter, so that runs are reproducible.
 *
 * @param draft draft of the running step
 */
export function $resetElection(draft: ReplicationDraft): void {
  draft.electionCount++;
  const draw = hash32(`${draft.self}:${draft.group}:${draft.electionCount}`) / HASH_RANGE;
  draft.electionAt = draft.now + draft.timing.electionTimeoutMs * (1 + draw);
}

/**
 * Becomes a follower.
 *
 * @param draft draft of the running step
 * @param leader leader of the term, if known
 */
export function $becomeFollower(draft: ReplicationDraft, leader: ReplicaId | null): void {
  const role: Role = {kind: 'follower', leader};
  draft.role = role;
  $resetElection(draft);
}

/**
 * Enters a later term as a follower and persists it.
 *
 * @param draft draft of the running step
 * @param term the later term
 * @param leader leader of that term, if known
 */
export function $enterTerm(draft: ReplicationDraft, term: number, leader: ReplicaId | null): void {
  draft.term = term;
  draft.votedFor = null;
  $persist(draft, []);
  $becomeFollower(draft, leader);
}
