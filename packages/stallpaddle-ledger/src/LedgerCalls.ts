/**
 * Online calls that must not run twice: a call's start is recorded before it is sent to an engine.
 */
import type {LedgerDraft} from './LedgerDraft';
import type {LedgerAnswer, LedgerCommand} from './LedgerTypes';

import {CALL_RECORD_TTL_MS} from './LedgerConstants';
import {$placeBlob} from './LedgerDraft';
import {customerKey, refusal} from './LedgerUtils';

type Command<Type> = Extract<LedgerCommand, {type: Type}>;

/**
 * Records a call's start, or returns the existing record of that call.
 *
 * @param draft draft of the running command
 * @param command the call
 */
export function $startCall(draft: LedgerDraft, command: Command<'startCall'>): LedgerAnswer {
  const name = customerKey(command.customer, command.key);
  const call = draft.calls.get(name);
  const {attempt, content, now} = command;
  if (call?.kind === 'started' && call.attempt === attempt) {
    return {kind: 'ok'};
  }
  if (call !== undefined) {
    return call.content === command.content
      ? {call, kind: 'callExists'}
      : refusal('keyReused', 'the key was already used for a call with different content');
  }
  draft.calls = draft.calls.set(name, {at: now, attempt, content, kind: 'started'});
  return {kind: 'ok'};
}

/**
 * Records a call's response for resent calls. The first one recorded is kept.
 *
 * @param draft draft of the running command
 * @param command the response
 */
export function $endCall(draft: LedgerDraft, command: Command<'endCall'>): LedgerAnswer {
  const name = customerKey(command.customer, command.key);
  const call = draft.calls.get(name);
  if (call === undefined) {
    return refusal('notFound', 'the call has no recorded start');
  }
  if (call.kind === 'ended') {
    return {call, kind: 'callExists'};
  }
  draft.calls = draft.calls.set(name, {
    answer: $placeBlob(draft, command.body),
    at: command.now,
    content: call.content,
    contentType: command.contentType,
    kind: 'ended',
    status: command.status,
  });
  return {kind: 'ok'};
}

/**
 * Removes the start of a call that was never sent, so that its key can be used again.
 *
 * @param draft draft of the running command
 * @param command the call
 */
export function $dropCall(draft: LedgerDraft, command: Command<'dropCall'>): LedgerAnswer {
  const name = customerKey(command.customer, command.key);
  if (draft.calls.get(name)?.kind === 'started') {
    draft.calls = draft.calls.remove(name);
  }
  return {kind: 'ok'};
}

/**
 * Drops call records past their lifetime.
 *
 * @param draft draft of the running command
 * @param now time of the command
 */
export function $dropOldCalls(draft: LedgerDraft, now: number): void {
  draft.calls = draft.calls.filter((call) => call.at + CALL_RECORD_TTL_MS > now);
}
