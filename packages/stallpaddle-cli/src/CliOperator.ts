/**
 * Commands of operators: plan, confirm, status, audit, addresses.
 */
import {readFile} from 'node:fs/promises';
import {delay, refuse} from 'stallpaddle';

import type {CliTarget} from './CliClient';
import type {PlanResponse} from './CliSchemas';

import {callJson, CliCallError} from './CliClient';
import {auditText, planText, print, statusText} from './CliPrint';
import {addressesSchema, auditSchema, planSchema, statusSchema} from './CliSchemas';

const IN_FORCE_POLL_INTERVAL_MS = 200;
const MAX_IN_FORCE_WAIT_MS = 60_000;

/**
 * Plans an intent and prints the plan.
 *
 * @param target VM that receives the call
 * @param intent JSON, or `@FILE`
 * @param json whether to print JSON
 */
export async function runPlan(target: CliTarget, intent: string, json: boolean): Promise<void> {
  const text = intent.startsWith('@') ? await readFile(intent.slice(1), 'utf8') : intent;
  const plan = await callJson(
    target,
    {body: Buffer.from(text), method: 'POST', path: '/admin/plans'},
    planSchema,
  );
  print(json, plan, () => `${planText(plan)}\nto confirm: stallpaddle confirm ${plan.id}`);
}

/**
 * Confirms a plan and prints it.
 *
 * @param target VM that receives the call
 * @param planId id of the plan
 * @param wait whether to wait until the plan is in force on every VM
 * @param json whether to print JSON
 */
export async function runConfirm(
  target: CliTarget,
  planId: string,
  wait: boolean,
  json: boolean,
): Promise<void> {
  const path = `/admin/plans/${encodeURIComponent(planId)}`;
  let plan = await callJson(target, {method: 'POST', path: `${path}/confirm`}, planSchema);
  if (wait && plan.state.kind === 'confirmed') {
    plan = await waitUntilInForce(target, path, plan);
  }
  print(json, plan, () => planText(plan));
  if (plan.state.kind === 'refused') {
    throw new CliCallError('conflict', 'notRun', plan.state.reason);
  }
}

async function waitUntilInForce(
  target: CliTarget,
  path: string,
  confirmed: PlanResponse,
): Promise<PlanResponse> {
  const deadline = Date.now() + MAX_IN_FORCE_WAIT_MS;
  let plan = confirmed;
  while (!plan.inForce.everywhere) {
    if (Date.now() > deadline) {
      const missing = plan.inForce.waitingFor.join(', ');
      throw new CliCallError('unavailable', 'ran', `accepted, but not yet in force on ${missing}`);
    }
    const {on, waitingFor} = plan.inForce;
    process.stderr.write(`in force on ${on.length} of ${on.length + waitingFor.length} VMs\n`);
    await delay(IN_FORCE_POLL_INTERVAL_MS);
    plan = await callJson(target, {method: 'GET', path}, planSchema);
  }
  return plan;
}

/**
 * Prints the status of the fleet.
 *
 * @param target VM that receives the call
 * @param json whether to print JSON
 */
export async function runStatus(target: CliTarget, json: boolean): Promise<void> {
  const status = await callJson(target, {method: 'GET', path: '/admin/status'}, statusSchema);
  print(json, status, () => statusText(status));
}

/**
 * Prints entries of the audit trail.
 *
 * @param target VM that receives the call
 * @param after number of the last entry already seen
 * @param limit maximum number of entries
 * @param json whether to print JSON
 */
export async function runAudit(
  target: CliTarget,
  after: number,
  limit: number,
  json: boolean,
): Promise<void> {
  const path = `/admin/audit?after=${after}&limit=${limit}`;
  const {entries} = await callJson(target, {method: 'GET', path}, auditSchema);
  print(json, entries, () => auditText(entries));
}

/**
 * Prints the addresses that callers should use.
 *
 * @param target VM that receives the call
 * @param zone the caller's availability zone, if any
 * @param json whether to print JSON
 */
export async function runAddresses(
  target: CliTarget,
  zone: string | undefined,
  json: boolean,
): Promise<void> {
  const query = zone === undefined ? '' : `?zone=${encodeURIComponent(zone)}`;
  const response = await callJson(
    target,
    {method: 'GET', path: `/addresses${query}`},
    addressesSchema,
  );
  print(json, response, () =>
    response.addresses
      .map(({host, port, vm, zone: at}) => `${host}:${port} ${vm} ${at}`)
      .join('\n'),
  );
  if (response.addresses.length === 0) {
    throw refuse('unavailable', 'no VM accepts new work');
  }
}
