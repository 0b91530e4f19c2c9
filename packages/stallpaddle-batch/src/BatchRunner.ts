/**
 * Running of batch items on engines.
 */
import type {EngineId} from 'stallpaddle';
import type {EngineAdapter, EngineLanes} from 'stallpaddle-engine';
import type {ItemReport} from 'stallpaddle-ledger';

import {errorMessage, generateId, startDeadline} from 'stallpaddle';
import {BackendError, readBody} from 'stallpaddle-engine';

import type {LeasedItem} from './BatchChunkLease';

import {ITEM_TIMEOUT_MS, MAX_RESPONSE_BYTES} from './BatchConstants';
import {errorLine, outputLine} from './BatchItems';

/** Outcome of a run: a report for the ledger, or `again` if the item goes back to the ready items. */
export type ItemOutcome =
  | {readonly failed: boolean; readonly kind: 'report'; readonly report: ItemReport}
  | {readonly failed: boolean; readonly kind: 'again'};

/** Engine that an item runs on. */
export interface ItemTarget {
  readonly adapter: EngineAdapter;
  readonly engine: EngineId;
  readonly lanes: EngineLanes;
  readonly slots: number;
  readonly weights: string;
}

function lost(leasedItem: LeasedItem, message: string): ItemOutcome {
  const line = errorLine(leasedItem.parsed.customId, 'engineLost', message);
  return {failed: true, kind: 'report', report: {item: leasedItem.item, kind: 'lost', line}};
}

function outcomeOfError(leasedItem: LeasedItem, err: unknown, signal: AbortSignal): ItemOutcome {
  const notRun = err instanceof BackendError && err.verdict === 'notRun';
  if (notRun) {
    const report: ItemReport = {item: leasedItem.item, kind: 'returned', line: ''};
    return leasedItem.chunk.leased.repeatable
      ? {failed: true, kind: 'again'}
      : {failed: true, kind: 'report', report};
  }
  if (signal.aborted && leasedItem.chunk.leased.repeatable) {
    return {failed: false, kind: 'again'};
  }
  return lost(leasedItem, errorMessage(err));
}

async function send(
  leasedItem: LeasedItem,
  target: ItemTarget,
  signal: AbortSignal,
): Promise<ItemOutcome> {
  const attemptId = generateId('item');
  const {customId} = leasedItem.parsed;
  const body = {...leasedItem.parsed.body, model: target.weights, stream: false};
  const response = await target.adapter.generate(
    {
      attemptId,
      body: Buffer.from(JSON.stringify(body)),
      contentType: 'application/json',
      method: 'POST',
      path: leasedItem.chunk.leased.endpoint,
      repeatable: leasedItem.chunk.leased.repeatable,
      timeoutMs: ITEM_TIMEOUT_MS,
      work: 'batch',
    },
    signal,
  );
  const text = (await readBody(response.body, MAX_RESPONSE_BYTES)).toString();
  if (response.status >= 500) {
    return lost(leasedItem, `the engine answered with ${response.status}`);
  }
  const parsed: unknown = JSON.parse(text);
  const line = outputLine(customId, attemptId, response.status, parsed);
  const kind = response.status < 300 ? 'done' : 'failed';
  return {failed: false, kind: 'report', report: {item: leasedItem.item, kind, line}};
}

/** Records the start of a non-repeatable item in the ledger; returns whether the item may run. */
async function recordStart(leasedItem: LeasedItem): Promise<boolean> {
  if (leasedItem.chunk.leased.repeatable) {
    return true;
  }
  const answer = await leasedItem.chunk.port.command({
    items: [leasedItem.item],
    token: leasedItem.chunk.token,
    type: 'startItems',
  });
  return answer.kind === 'started' && answer.items.includes(leasedItem.item);
}

/**
 * Runs an item on an engine and returns the outcome.
 *
 * @param leasedItem the item
 * @param target engine that it runs on
 * @param signal cancels the run
 */
export async function runItem(
  leasedItem: LeasedItem,
  target: ItemTarget,
  signal: AbortSignal,
): Promise<ItemOutcome> {
  try {
    if (!(await recordStart(leasedItem))) {
      // The lease is no longer valid; the ledger drops this report.
      return {
        failed: false,
        kind: 'report',
        report: {item: leasedItem.item, kind: 'returned', line: ''},
      };
    }
  } catch {
    // The start may have been recorded, but nothing was sent to the engine.
    return {
      failed: false,
      kind: 'report',
      report: {item: leasedItem.item, kind: 'returned', line: ''},
    };
  }
  const deadline = startDeadline(ITEM_TIMEOUT_MS, signal);
  try {
    return await target.lanes.run(target.engine, target.slots, 'batch', () =>
      send(leasedItem, target, deadline.signal),
    );
  } catch (err) {
    return outcomeOfError(leasedItem, err, signal);
  } finally {
    deadline.dispose();
  }
}
