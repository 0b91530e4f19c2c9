/**
 * Operators' interface: plans, audit trail, status, jobs and files of all customers.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ControlCommandResult, PlanRecord} from 'stallpaddle-control';
import type {LedgerPort} from 'stallpaddle-ledger';

import {generateId, refuse} from 'stallpaddle';
import {intentSchema} from 'stallpaddle-control';
import {liveVms} from 'stallpaddle-membership';

import type {GatewayBatches} from './GatewayBatches';
import type {GatewayContext} from './GatewayContext';
import type {GatewayFiles} from './GatewayFiles';

import {batchObject} from './GatewayBatches';
import {idempotencyKey, parseBody, readRequestBody, sendJson} from './GatewayHttp';

const DEFAULT_AUDIT_ENTRIES = 200;
const MAX_AUDIT_ENTRIES = 5000;

function planOf(answer: ControlCommandResult): PlanRecord {
  switch (answer.kind) {
    case 'ok':
      throw refuse('internal', 'unexpected kind of answer from the control group');
    case 'plan':
      return answer.plan;
    case 'refused':
      throw refuse(answer.code, answer.message);
  }
}

/** Handles operators' requests. */
export class GatewayAdmin {
  /**
   * @param context state and services of the VM
   * @param batches converts and cancels jobs
   * @param files sends file contents
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly batches: GatewayBatches,
    private readonly files: GatewayFiles,
  ) {}

  /**
   * Plans an intent without applying it.
   *
   * @param operator operator who requests the plan
   * @param req the request; a resend with the same idempotency key returns the same plan
   * @param res the response
   */
  async plan(operator: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {clock, control, limits} = this.context;
    const intent = parseBody(
      await readRequestBody(req, limits.bodyBytes, limits.sendMs),
      intentSchema,
    );
    const key = idempotencyKey(req);
    const planId = key === null ? generateId('plan') : `plan_${operator}_${key}`;
    const answer = await control.command({
      intent,
      now: clock.wallMs(),
      operator,
      planId,
      type: 'plan',
    });
    this.sendPlan(planOf(answer), res);
  }

  /**
   * Confirms a plan. The response does not wait until the VMs have applied it.
   *
   * @param operator operator who confirms
   * @param planId the plan
   * @param res the response
   */
  async confirm(operator: string, planId: string, res: ServerResponse): Promise<void> {
    const {clock, control} = this.context;
    const now = clock.wallMs();
    const answer = await control.command({now, operator, planId, type: 'confirm'});
    this.sendPlan(planOf(answer), res);
  }

  /**
   * Sends a plan and the VMs on which it is in force.
   *
   * @param planId the plan
   * @param res the response
   */
  async showPlan(planId: string, res: ServerResponse): Promise<void> {
    const {plan} = await this.context.control.query({planId, type: 'plan'});
    if (plan === undefined) {
      throw refuse('notFound', `no plan ${planId}`);
    }
    this.sendPlan(plan, res);
  }

  /**
   * Sends entries of the audit trail.
   *
   * @param query `after` and `limit`
   * @param res the response
   */
  async audit(query: URLSearchParams, res: ServerResponse): Promise<void> {
    const after = Number(query.get('after') ?? 0);
    const limit = Number(query.get('limit') ?? DEFAULT_AUDIT_ENTRIES);
    if (
      !Number.isInteger(after) ||
      !Number.isInteger(limit) ||
      limit < 1 ||
      limit > MAX_AUDIT_ENTRIES
    ) {
      throw refuse(
        'badRequest',
        `after and limit must be integers, limit from 1 to ${MAX_AUDIT_ENTRIES}`,
      );
    }
    const {entries} = await this.context.control.query({after, limit, type: 'audit'});
    sendJson(res, 200, {entries});
  }

  /**
   * Sends the fleet's state as this VM sees it.
   *
   * @param res the response
   */
  async status(res: ServerResponse): Promise<void> {
    sendJson(res, 200, await this.context.status());
  }

  /**
   * Lists the jobs of all customers.
   *
   * @param res the response
   */
  async jobs(res: ServerResponse): Promise<void> {
    const replies = await Promise.all(
      this.context.ledger.all.map((port) => port.query({customer: null, type: 'jobs'})),
    );
    const data = replies.flatMap(({jobs}) =>
      jobs.map((job) => ({...(batchObject(job) as object), customer: job.customer})),
    );
    sendJson(res, 200, {data, object: 'list'});
  }

  /**
   * Cancels any customer's job.
   *
   * @param operator operator who cancels
   * @param jobId the job
   * @param res the response
   */
  async cancelJob(operator: string, jobId: string, res: ServerResponse): Promise<void> {
    const port = await this.shardOf(jobId);
    const {clock, control} = this.context;
    await control.command({
      action: 'cancelJob',
      actor: operator,
      detail: jobId,
      now: clock.wallMs(),
      type: 'note',
    });
    await this.batches.cancel(null, port, jobId, res);
  }

  /**
   * Sends the output or errors file of any customer's job.
   *
   * @param fileId the file
   * @param res the response
   */
  async fileContent(fileId: string, res: ServerResponse): Promise<void> {
    const jobId = fileId.replace(/-(?:output|errors)$/, '');
    await this.files.content(null, await this.shardOf(jobId), fileId, res);
  }

  private async shardOf(jobId: string): Promise<LedgerPort> {
    for (const port of this.context.ledger.all) {
      const {job} = await port.query({customer: null, jobId, type: 'job'});
      if (job !== undefined) {
        return port;
      }
    }
    throw refuse('notFound', `no job ${jobId}`);
  }

  private sendPlan(plan: PlanRecord, res: ServerResponse): void {
    const now = this.context.clock.monotonicMs();
    const vms = liveVms(this.context.membership(), now);
    const revision = plan.state.kind === 'confirmed' ? plan.state.revision : null;
    const inForceOn = vms.filter((vm) => revision !== null && vm.revision >= revision);
    const waitingFor = vms.filter((vm) => revision !== null && vm.revision < revision);
    sendJson(res, 200, {
      ...plan,
      inForce: {
        everywhere: revision !== null && waitingFor.length === 0,
        on: inForceOn.map(({vm}) => vm),
        waitingFor: waitingFor.map(({vm}) => vm),
      },
    });
  }
}
