/**
 * Online calls that must not run twice: the start is on record before the first byte goes out.
 */
import type {LedgerDraft} from './LedgerDraft';
import type {LedgerAnswer, LedgerCommand} from './LedgerTypes';

import {CALL_RECORD_TTL_MS} from './LedgerConstants';
import {$placeBlob} from './LedgerDraft';
import {customerKey, refusal} from './LedgerUtils';

type Command<Type> = Extract<LedgerCommand, {type: Type}>;

/**
 * Records a start, or finds the record of an earlier one.
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
      : refusal('keyReused', 'the key was used for a call with other content');
  }
  draft.calls = draft.calls.set(name, {at: now, attempt, content, kind: 'started'});
  return {kind: 'ok'};
}

/**
 * Records a call's answer for resends; the first one stands.
 *
 * @param draft draft of the running command
 * @param command the answer
 */
export function $endCall(draft: LedgerDraft, command: Command<'endCall'>): LedgerAnswer {
  const name = customerKey(command.customer, command.key);
  const call = draft.calls.get(name);
  if (call === undefined) {
    return refusal('notFound', 'the call has no start on record');
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
 * Takes back a start that was never sent, so that the key may be used again.
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
 * Forgets records that are too old for a resend.
 *
 * @param draft draft of the running command
 * @param now time of the command
 */
export function $dropOldCalls(draft: LedgerDraft, now: number): void {
  draft.calls = draft.calls.filter((call) => call.at + CALL_RECORD_TTL_MS > now);
}
