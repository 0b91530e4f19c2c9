/**
 * Batch jobs of a customer, and the check that every item ended exactly once.
 */
import type {ServerAnswer} from 'stallpaddle-load';

import {delay} from 'stallpaddle';
import {z} from 'zod';

import type {DemoCallers} from './DemoCallers';
import type {DemoBatch} from './DemoWorkload';

const LOOK_MS = 200;
const BOUNDARY = 'demo-boundary';

const fileSchema = z.object({id: z.string()});
const batchSchema = z.object({
  error_file_id: z.string().nullable(),
  id: z.string(),
  output_file_id: z.string().nullable(),
  request_counts: z.object({completed: z.number(), failed: z.number(), total: z.number()}),
  status: z.string(),
});
const lineSchema = z.object({custom_id: z.string()});

/** What became of a job's items. */
export interface BatchCounts {
  readonly doubled: number;
  readonly done: number;
  readonly failed: number;
  readonly lost: number;
}

function need(answer: ServerAnswer | undefined): ServerAnswer {
  if (answer === undefined || answer.status >= 400) {
    throw new Error(`the call failed: ${answer?.status} ${answer?.text}`);
  }
  return answer;
}

/**
 * Uploads a file and creates a job.
 *
 * @param callers the customer
 * @param batch the file
 * @param key key for resends
 * @param headers further headers of the create call
 * @returns the job's id
 */
export async function submitBatch(
  callers: DemoCallers,
  batch: DemoBatch,
  key: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<string> {
  const form = [
    `--${BOUNDARY}\r\ncontent-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n`,
    `--${BOUNDARY}\r\ncontent-disposition: form-data; name="file"; filename="items.jsonl"\r\n`,
    `content-type: application/jsonl\r\n\r\n${batch.jsonl}\r\n--${BOUNDARY}--\r\n`,
  ].join('');
  const uploaded = await callers.call('POST', '/v1/files', form, {
    'content-type': `multipart/form-data; boundary=${BOUNDARY}`,
  });
  const {id} = fileSchema.parse(JSON.parse(need(uploaded).text));
  const body = JSON.stringify({
    completion_window: '24h',
    endpoint: '/v1/chat/completions',
    input_file_id: id,
  });
  const created = await callers.call('POST', '/v1/batches', body, {
    ...headers,
    'idempotency-key': key,
  });
  return batchSchema.parse(JSON.parse(need(created).text)).id;
}

/**
 * Waits until a job has ended.
 *
 * @param callers the customer
 * @param jobId the job
 * @param mostMs longest wait, in milliseconds
 * @returns its last status
 */
export async function waitForBatch(
  callers: DemoCallers,
  jobId: string,
  mostMs: number,
): Promise<z.infer<typeof batchSchema>> {
  const until = Date.now() + mostMs;
  for (;;) {
    const answer = need(await callers.call('GET', `/v1/batches/${jobId}`));
    const batch = batchSchema.parse(JSON.parse(answer.text));
    if (batch.status !== 'in_progress' || Date.now() > until) {
      return batch;
    }
    await delay(LOOK_MS);
  }
}

async function readIds(callers: DemoCallers, fileId: string | null): Promise<readonly string[]> {
  if (fileId === null) {
    return [];
  }
  const answer = need(await callers.call('GET', `/v1/files/${fileId}/content`));
  const lines = answer.text.split('\n').filter((line) => line !== '');
  return lines.map((line) => lineSchema.parse(JSON.parse(line)).custom_id);
}

/**
 * Reads a job's results and counts the items by how they ended.
 *
 * @param callers the customer
 * @param jobId the job
 * @param batch what was submitted
 */
export async function countItems(
  callers: DemoCallers,
  jobId: string,
  batch: DemoBatch,
): Promise<BatchCounts> {
  const status = await waitForBatch(callers, jobId, 0);
  const done = await readIds(callers, status.output_file_id);
  const failed = await readIds(callers, status.error_file_id);
  const seen = new Map<string, number>();
  for (const id of [...done, ...failed]) {
    seen.set(id, (seen.get(id) ?? 0) + 1);
  }
  const known = new Set(batch.customIds);
  return {
    done: done.length,
    doubled: [...seen].filter(([id, count]) => count > 1 || !known.has(id)).length,
    failed: failed.length,
    lost: batch.customIds.filter((id) => !seen.has(id)).length,
  };
}
