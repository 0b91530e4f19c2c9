/**
 * File uploads: received in parts, and usable by jobs once sealed.
 */
import {List} from 'immutable';

import type {LedgerDraft} from './LedgerDraft';
import type {FileChunk, LedgerAnswer, LedgerCommand, LedgerFile} from './LedgerTypes';

import {expiryNow} from './LedgerClock';
import {UPLOAD_TIMEOUT_MS} from './LedgerConstants';
import {$placeBlob} from './LedgerDraft';
import {refusal} from './LedgerUtils';

type Command<Type> = Extract<LedgerCommand, {type: Type}>;

function newFile(draft: LedgerDraft, command: Command<'appendFile'>): LedgerFile {
  return {
    bytes: 0,
    chunks: List<FileChunk>(),
    content: '',
    createdAt: command.now,
    customer: command.customer,
    filename: '',
    id: command.fileId,
    items: 0,
    model: command.model,
    openUntil: expiryNow(draft, command.now) + UPLOAD_TIMEOUT_MS,
    sealed: false,
  };
}

/**
 * Appends one part of an upload; ignores a resent part.
 *
 * @param draft draft of the running command
 * @param command the part
 */
export function $appendFile(draft: LedgerDraft, command: Command<'appendFile'>): LedgerAnswer {
  const known = draft.files.get(command.fileId);
  if (known !== undefined && known.customer !== command.customer) {
    return refusal('conflict', 'the file belongs to another customer');
  }
  const file = known ?? newFile(draft, command);
  const {chunks, firstChunk} = command;
  if (firstChunk + chunks.length <= file.chunks.size) {
    return {kind: 'ok'};
  }
  if (file.sealed || firstChunk !== file.chunks.size) {
    return refusal('conflict', `chunk ${firstChunk} does not follow the last received chunk`);
  }
  const added = chunks.map(({items, lines}) => ({items, ref: $placeBlob(draft, lines)}));
  draft.files = draft.files.set(file.id, {
    ...file,
    chunks: file.chunks.concat(added),
    items: added.reduce((sum, {items}) => sum + items, file.items),
  });
  return {kind: 'ok'};
}

/**
 * Seals an upload whose parts have all arrived.
 *
 * @param draft draft of the running command
 * @param command the file's properties and its expected number of chunks
 */
export function $sealFile(draft: LedgerDraft, command: Command<'sealFile'>): LedgerAnswer {
  const file = draft.files.get(command.fileId);
  if (file === undefined || file.customer !== command.customer) {
    return refusal('notFound', 'the upload does not exist');
  }
  if (file.chunks.size !== command.size) {
    return refusal('conflict', `${file.chunks.size} of ${command.size} chunks have arrived`);
  }
  draft.files = draft.files.set(file.id, {
    ...file,
    bytes: command.bytes,
    content: command.content,
    createdAt: command.now,
    filename: command.filename,
    sealed: true,
  });
  return {kind: 'ok'};
}

/**
 * Drops uploads that were not sealed in time.
 *
 * @param draft draft of the running command
 * @param now time of the command
 */
export function $dropExpiredUploads(draft: LedgerDraft, now: number): void {
  const at = expiryNow(draft, now);
  draft.files = draft.files.filter((file) => file.sealed || file.openUntil > at);
}
