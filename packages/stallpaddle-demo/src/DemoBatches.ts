/**
 * Submits batch jobs as a customer and checks that every item finished exactly once.
 */
import type {ServerAnswer} from 'stallpaddle-load';

import {delay} from 'stallpaddle';
import {z} from 'zod';

import type {DemoCallers} from './DemoCallers';
import type {DemoBatch} from './DemoWorkload';

const POLL_INTERVAL_MS = 200;
const BOUNDARY = 'demo-boundary';

const fileSchema = z.object({id: z.string()});
const batchSchema = z.object({
  error_file_id: z.string().nullable(),
  id: z.string(),
  output_file_id: z.string().nullable(),
  request_counts: z.object({completed: z.number(), failed: z.number(), total: z.number()}),
  status: z.string(),
});
const resultLineSchema = z.object({custom_id: z.string()});

/** Outcomes of a job's items. */
export interface BatchCounts {
  /** Item ids that have more than one result or were not in the submitted file. */
  readonly doubled: number;
  readonly done: number;
  readonly failed: number;
  /** Submitted items without a result. */
  readonly lost: number;
}

function requireSuccess(response: ServerAnswer | undefined): ServerAnswer {
  if (response === undefined || response.status >= 400) {
    throw new Error(`the request failed with status ${response?.status}: ${response?.text}`);
  }
  return response;
}

/**
 * Uploads a file and creates a job.
 *
 * @param callers callers of the customer that owns the job
 * @param batch the file to upload
 * @param key idempotency key of the create call
 * @param headers additional headers of the create call
 * @returns the id of the job
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
  const {id} = fileSchema.parse(JSON.parse(requireSuccess(uploaded).text));
  const body = JSON.stringify({
    completion_window: '24h',
    endpoint: '/v1/chat/completions',
    input_file_id: id,
  });
  const created = await callers.call('POST', '/v1/batches', body, {
    ...headers,
    'idempotency-key': key,
  });
  return batchSchema.parse(JSON.parse(requireSuccess(created).text)).id;
}

/**
 * Polls a job until it is no longer in progress or the timeout has passed.
 *
 * @param callers callers of the customer that owns the job
 * @param jobId id of the job
 * @param timeoutMs longest wait, in milliseconds
 * @returns the last status read
 */
export async function waitForBatch(
  callers: DemoCallers,
  jobId: string,
  timeoutMs: number,
): Promise<z.infer<typeof batchSchema>> {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const response = requireSuccess(await callers.call('GET', `/v1/batches/${jobId}`));
    const batch = batchSchema.parse(JSON.parse(response.text));
    if (batch.status !== 'in_progress' || Date.now() > deadline) {
      return batch;
    }
    await delay(POLL_INTERVAL_MS);
  }
}

async function readIds(callers: DemoCallers, fileId: string | null): Promise<readonly string[]> {
  if (fileId === null) {
    return [];
  }
  const response = requireSuccess(await callers.call('GET', `/v1/files/${fileId}/content`));
  const lines = response.text.split('\n').filter((line) => line !== '');
  return lines.map((line) => resultLineSchema.parse(JSON.parse(line)).custom_id);
}

/**
 * Reads a job's output and error files and counts its items by outcome.
 *
 * @param callers callers of the customer that owns the job
 * @param jobId id of the job
 * @param batch the submitted file
 */
export async function countItems(
  callers: DemoCallers,
  jobId: string,
  batch: DemoBatch,
): Promise<BatchCounts> {
  const status = await waitForBatch(callers, jobId, 0);
  const done = await readIds(callers, status.output_file_id);
  const failed = await readIds(callers, status.error_file_id);
  const resultCounts = new Map<string, number>();
  for (const id of [...done, ...failed]) {
    resultCounts.set(id, (resultCounts.get(id) ?? 0) + 1);
  }
  const submitted = new Set(batch.customIds);
  return {
    done: done.length,
    doubled: [...resultCounts].filter(([id, count]) => count > 1 || !submitted.has(id)).length,
    failed: failed.length,
    lost: batch.customIds.filter((id) => !resultCounts.has(id)).length,
  };
}
