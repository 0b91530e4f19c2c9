/**
 * Commands that submit, show and cancel batch jobs and fetch their results.
 */
import {SingleBar} from 'cli-progress';
import {randomBytes} from 'node:crypto';
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {delay, refuse} from 'stallpaddle';
import {IDEMPOTENCY_KEY_HEADER, REPEATABLE_HEADER} from 'stallpaddle-gateway';

import type {CliTarget} from './CliClient';
import type {BatchResponse} from './CliSchemas';

import {callJson, callText} from './CliClient';
import {batchText, print} from './CliPrint';
import {batchSchema, fileSchema} from './CliSchemas';

const POLL_INTERVAL_MS = 500;

/** Options of `batch submit`. */
export interface SubmitOptions {
  readonly json: boolean;
  /** Idempotency key; generated when missing. */
  readonly key: string | undefined;
  readonly repeatable: boolean;
  readonly wait: boolean;
  /** Time until the results are due, such as `24h`. */
  readonly window: string;
}

function buildUploadForm(
  filename: string,
  content: Uint8Array,
): {readonly body: Buffer; readonly contentType: string} {
  const boundary = `stallpaddle-${randomBytes(12).toString('hex')}`;
  const head = [
    `--${boundary}`,
    'content-disposition: form-data; name="purpose"',
    '',
    'batch',
    `--${boundary}`,
    `content-disposition: form-data; name="file"; filename="${filename.replaceAll('"', '')}"`,
    'content-type: application/jsonl',
    '',
    '',
  ].join('\r\n');
  const tail = `\r\n--${boundary}--\r\n`;
  return {
    body: Buffer.concat([Buffer.from(head), content, Buffer.from(tail)]),
    contentType: `multipart/form-data; boundary=${boundary}`,
  };
}

/**
 * Uploads a file and creates a job.
 *
 * @param target VM that receives the call
 * @param file path of a JSONL file
 * @param options deadline, idempotency key and output format
 */
export async function runSubmit(
  target: CliTarget,
  file: string,
  options: SubmitOptions,
): Promise<void> {
  const form = buildUploadForm(path.basename(file), await readFile(file));
  const uploaded = await callJson(target, {...form, method: 'POST', path: '/v1/files'}, fileSchema);
  const body = Buffer.from(
    JSON.stringify({
      completion_window: options.window,
      endpoint: '/v1/chat/completions',
      input_file_id: uploaded.id,
    }),
  );
  const headers = {
    [IDEMPOTENCY_KEY_HEADER]: options.key ?? randomBytes(16).toString('hex'),
    [REPEATABLE_HEADER]: String(options.repeatable),
  };
  let batch = await callJson(
    target,
    {body, headers, method: 'POST', path: '/v1/batches'},
    batchSchema,
  );
  if (options.wait) {
    batch = await waitForCompletion(target, batch);
  }
  print(options.json, batch, () => batchText(batch));
}

function getBatch(target: CliTarget, jobId: string): Promise<BatchResponse> {
  const call = {method: 'GET', path: `/v1/batches/${encodeURIComponent(jobId)}`} as const;
  return callJson(target, call, batchSchema);
}

async function waitForCompletion(target: CliTarget, first: BatchResponse): Promise<BatchResponse> {
  const bar = new SingleBar({
    format: '{bar} {value}/{total} items, {failed} failed, {duration_formatted}',
    stream: process.stderr,
  });
  bar.start(first.request_counts.total, 0, {failed: 0});
  let batch = first;
  while (batch.status === 'in_progress') {
    await delay(POLL_INTERVAL_MS);
    batch = await getBatch(target, first.id);
    const {completed, failed} = batch.request_counts;
    bar.update(completed + failed, {failed});
  }
  bar.stop();
  return batch;
}

/**
 * Prints the status of a job.
 *
 * @param target VM that receives the call
 * @param jobId id of the job
 * @param json whether to print JSON
 */
export async function runBatchStatus(
  target: CliTarget,
  jobId: string,
  json: boolean,
): Promise<void> {
  const batch = await getBatch(target, jobId);
  print(json, batch, () => batchText(batch));
}

/**
 * Writes the results of a job to a file or the standard output.
 *
 * @param target VM that receives the call
 * @param jobId id of the job
 * @param errors whether to write the failed items instead of the results
 * @param output path of the output file; standard output when missing
 */
export async function runBatchResults(
  target: CliTarget,
  jobId: string,
  errors: boolean,
  output: string | undefined,
): Promise<void> {
  const batch = await getBatch(target, jobId);
  const fileId = errors ? batch.error_file_id : batch.output_file_id;
  if (fileId === null) {
    throw refuse('notFound', `job ${jobId} has no ${errors ? 'failed items' : 'results'} yet`);
  }
  const text = await callText(target, {method: 'GET', path: `/v1/files/${fileId}/content`});
  if (output === undefined) {
    process.stdout.write(text);
  } else {
    await writeFile(output, text);
  }
}

/**
 * Cancels a job.
 *
 * @param target VM that receives the call
 * @param jobId id of the job
 * @param asOperator whether to cancel as an operator, who may cancel the jobs of any customer
 * @param json whether to print JSON
 */
export async function runBatchCancel(
  target: CliTarget,
  jobId: string,
  asOperator: boolean,
  json: boolean,
): Promise<void> {
  const id = encodeURIComponent(jobId);
  const call = asOperator ? `/admin/jobs/${id}/cancel` : `/v1/batches/${id}/cancel`;
  const batch = await callJson(target, {method: 'POST', path: call}, batchSchema);
  print(json, batch, () => batchText(batch));
}
