/**
 * Batch jobs in the format of OpenAI's batch API.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {JobView, LedgerAnswer, LedgerPort} from 'stallpaddle-ledger';

import {generateId, refuse} from 'stallpaddle';
import {z} from 'zod';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';

import {sha256} from './GatewayAuth';
import {CHAT_PATH} from './GatewayChat';
import {errorsFileId, outputFileId} from './GatewayFiles';
import {idempotencyKey, isRepeatable, parseBody, readRequestBody, sendJson} from './GatewayHttp';

const MS_PER_S = 1000;
const WINDOW_UNITS = {d: 86_400_000, h: 3_600_000, m: 60_000} as const;

const createSchema = z.looseObject({
  completion_window: z.string().regex(/^[1-9]\d{0,3}[dhm]$/, 'expected a time such as 24h'),
  endpoint: z.literal(CHAT_PATH),
  input_file_id: z.string().min(1),
  metadata: z.record(z.string(), z.string()).nullish(),
});

function windowMs(window: string): number {
  const unit = window.at(-1) as keyof typeof WINDOW_UNITS;
  return Number(window.slice(0, -1)) * WINDOW_UNITS[unit];
}

function seconds(ms: number | null): number | null {
  return ms === null ? null : Math.floor(ms / MS_PER_S);
}

/**
 * Converts a job to a batch object of OpenAI's API.
 *
 * @param job the job
 */
export function batchObject(job: JobView): unknown {
  const {counts} = job;
  const status = job.status === 'running' ? 'in_progress' : job.status;
  const failed = counts.failed + counts.mayHaveRun;
  return {
    cancelled_at: job.status === 'cancelled' ? seconds(job.endedAt) : null,
    completed_at: job.status === 'completed' ? seconds(job.endedAt) : null,
    completion_window: `${Math.round((job.dueAt - job.createdAt) / WINDOW_UNITS.m)}m`,
    created_at: seconds(job.createdAt),
    endpoint: job.endpoint,
    error_file_id: failed > 0 ? errorsFileId(job.id) : null,
    errors: null,
    expires_at: seconds(job.dueAt),
    id: job.id,
    in_progress_at: seconds(job.createdAt),
    input_file_id: job.fileId,
    item_ends: counts,
    metadata: job.metadata,
    model: job.model,
    object: 'batch',
    output_file_id: counts.done > 0 ? outputFileId(job.id) : null,
    request_counts: {completed: counts.done, failed, total: job.items},
    status,
  };
}

/** Creates, shows, lists and cancels customers' batch jobs. */
export class GatewayBatches {
  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {}

  /**
   * Creates a job. A resend with the same idempotency key returns the job that exists already.
   *
   * @param caller the customer
   * @param req the request
   * @param res the response
   */
  async create(caller: CustomerCaller, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {clock, limits} = this.context;
    const body = parseBody(
      await readRequestBody(req, limits.bodyBytes, limits.sendMs),
      createSchema,
    );
    const {customer} = caller;
    const port = this.context.ledger.forCustomer(customer);
    const fileId = body.input_file_id;
    const {file} = await port.query({customer, fileId, type: 'file'});
    if (file === undefined) {
      throw refuse('notFound', `no file ${fileId}`, {path: 'input_file_id'});
    }
    const repeatable = isRepeatable(req, true);
    const metadata = body.metadata ?? {};
    const now = clock.wallMs();
    // Resends are recognized by the file's content, as the client may have uploaded the file again.
    const identity = [file.content, body.endpoint, body.completion_window, metadata, repeatable];
    const answer = await port.command({
      content: sha256(JSON.stringify(identity)),
      customer,
      dueAt: now + windowMs(body.completion_window),
      endpoint: body.endpoint,
      fileId,
      jobId: generateId('batch'),
      key: idempotencyKey(req),
      metadata,
      now,
      repeatable,
      type: 'createJob',
    });
    await this.sendJob(customer, port, answer, res);
  }

  /**
   * Sends one job.
   *
   * @param caller the customer
   * @param jobId the job
   * @param res the response
   */
  async show({customer}: CustomerCaller, jobId: string, res: ServerResponse): Promise<void> {
    const port = this.context.ledger.forCustomer(customer);
    await this.sendJob(customer, port, {jobId, kind: 'job', resent: false}, res);
  }

  /**
   * Sends a customer's jobs, newest first.
   *
   * @param caller the customer
   * @param res the response
   */
  async list({customer}: CustomerCaller, res: ServerResponse): Promise<void> {
    const port = this.context.ledger.forCustomer(customer);
    const {jobs} = await port.query({customer, type: 'jobs'});
    const data = jobs.toSorted((a, b) => b.createdAt - a.createdAt).map(batchObject);
    sendJson(res, 200, {data, has_more: false, object: 'list'});
  }

  /**
   * Cancels a job.
   *
   * @param customer customer that must own the job; null for an operator
   * @param port ledger shard of the job
   * @param jobId the job
   * @param res the response
   */
  async cancel(
    customer: string | null,
    port: LedgerPort,
    jobId: string,
    res: ServerResponse,
  ): Promise<void> {
    const now = this.context.clock.wallMs();
    const answer = await port.command({customer, jobId, now, type: 'cancelJob'});
    await this.sendJob(customer, port, answer, res);
  }

  private async sendJob(
    customer: string | null,
    port: LedgerPort,
    answer: LedgerAnswer,
    res: ServerResponse,
  ): Promise<void> {
    if (answer.kind === 'refused') {
      throw refuse(answer.code, answer.message);
    }
    const jobId = answer.kind === 'job' ? answer.jobId : '';
    const {job} = await port.query({customer, jobId, type: 'job'});
    if (job === undefined) {
      throw refuse('notFound', `no job ${jobId}`);
    }
    sendJson(res, 200, batchObject(job));
  }
}
