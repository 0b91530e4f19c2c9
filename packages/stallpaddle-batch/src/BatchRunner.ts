/**
 * Runs one item at an engine and says what became of it.
 */
import type {EngineId} from 'stallpaddle';
import type {EngineAdapter, EngineLanes} from 'stallpaddle-engine';
import type {ItemReport} from 'stallpaddle-ledger';

import {errorMessage, generateId, startDeadline} from 'stallpaddle';
import {BackendError, readBody} from 'stallpaddle-engine';

import type {HeldItem} from './BatchHeld';

import {ITEM_TIMEOUT_MS, MAX_ANSWER_BYTES} from './BatchConstants';
import {errorLine, outputLine} from './BatchItems';

/** What became of an item: an end for the ledger, or back to the waiting ones. */
export type ItemOutcome =
  | {readonly failed: boolean; readonly kind: 'report'; readonly report: ItemReport}
  | {readonly failed: boolean; readonly kind: 'again'};

/** Where an item runs. */
export interface ItemPlace {
  readonly adapter: EngineAdapter;
  readonly engine: EngineId;
  readonly lanes: EngineLanes;
  readonly slots: number;
  readonly weights: string;
}

function lost(held: HeldItem, message: string): ItemOutcome {
  const line = errorLine(held.parsed.customId, 'engineLost', message);
  return {failed: true, kind: 'report', report: {item: held.item, kind: 'lost', line}};
}

function outcomeOfError(held: HeldItem, err: unknown, signal: AbortSignal): ItemOutcome {
  const notRun = err instanceof BackendError && err.verdict === 'notRun';
  if (notRun) {
    const report: ItemReport = {item: held.item, kind: 'returned', line: ''};
    return held.chunk.leased.repeatable
      ? {failed: true, kind: 'again'}
      : {failed: true, kind: 'report', report};
  }
  if (signal.aborted && held.chunk.leased.repeatable) {
    return {failed: false, kind: 'again'};
  }
  return lost(held, errorMessage(err));
}

async function send(held: HeldItem, place: ItemPlace, signal: AbortSignal): Promise<ItemOutcome> {
  const attemptId = generateId('item');
  const {customId} = held.parsed;
  const body = {...held.parsed.body, model: place.weights, stream: false};
  const answer = await place.adapter.generate(
    {
      attemptId,
      body: Buffer.from(JSON.stringify(body)),
      contentType: 'application/json',
      method: 'POST',
      path: held.chunk.leased.endpoint,
      repeatable: held.chunk.leased.repeatable,
      timeoutMs: ITEM_TIMEOUT_MS,
      work: 'batch',
    },
    signal,
  );
  const text = (await readBody(answer.body, MAX_ANSWER_BYTES)).toString();
  if (answer.status >= 500) {
    return lost(held, `the engine answered with ${answer.status}`);
  }
  const parsed: unknown = JSON.parse(text);
  const line = outputLine(customId, attemptId, answer.status, parsed);
  const kind = answer.status < 300 ? 'done' : 'failed';
  return {failed: false, kind: 'report', report: {item: held.item, kind, line}};
}

async function mayStart(held: HeldItem): Promise<boolean> {
  if (held.chunk.leased.repeatable) {
    return true;
  }
  const answer = await held.chunk.port.command({
    items: [held.item],
    token: held.chunk.token,
    type: 'startItems',
  });
  return answer.kind === 'started' && answer.items.includes(held.item);
}

/**
 * Runs an item.
 *
 * @param held the item
 * @param place where it runs
 * @param signal cancels it
 */
export async function runItem(
  held: HeldItem,
  place: ItemPlace,
  signal: AbortSignal,
): Promise<ItemOutcome> {
  try {
    if (!(await mayStart(held))) {
      // The lease went to another VM: whatever is reported here will be dropped.
      return {failed: false, kind: 'report', report: {item: held.item, kind: 'returned', line: ''}};
    }
  } catch {
    // The start may be on record, but nothing was sent.
    return {failed: false, kind: 'report', report: {item: held.item, kind: 'returned', line: ''}};
  }
  const deadline = startDeadline(ITEM_TIMEOUT_MS, signal);
  try {
    return await place.lanes.run(place.engine, place.slots, 'batch', () =>
      send(held, place, deadline.signal),
    );
  } catch (err) {
    return outcomeOfError(held, err, signal);
  } finally {
    deadline.dispose();
  }
}
