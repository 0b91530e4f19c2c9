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

const WAIT_LOOK_MS = 200;
const WAIT_MOST_MS = 60_000;

/**
 * Plans an intent.
 *
 * @param target the VM to ask
 * @param intent JSON, or `@FILE`
 * @param json print JSON
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
 * Confirms a plan.
 *
 * @param target the VM to ask
 * @param planId the plan
 * @param wait return only once it is in force everywhere
 * @param json print JSON
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
    plan = await waitInForce(target, path, plan);
  }
  print(json, plan, () => planText(plan));
  if (plan.state.kind === 'refused') {
    throw new CliCallError('conflict', 'notRun', plan.state.reason);
  }
}

async function waitInForce(
  target: CliTarget,
  path: string,
  confirmed: PlanResponse,
): Promise<PlanResponse> {
  const until = Date.now() + WAIT_MOST_MS;
  let plan = confirmed;
  while (!plan.inForce.everywhere) {
    if (Date.now() > until) {
      const missing = plan.inForce.waitingFor.join(', ');
      throw new CliCallError('unavailable', 'ran', `accepted, but not yet in force on ${missing}`);
    }
    const {on, waitingFor} = plan.inForce;
    process.stderr.write(`in force on ${on.length} of ${on.length + waitingFor.length} VMs\n`);
    await delay(WAIT_LOOK_MS);
    plan = await callJson(target, {method: 'GET', path}, planSchema);
  }
  return plan;
}

/**
 * Shows the fleet.
 *
 * @param target the VM to ask
 * @param json print JSON
 */
export async function runStatus(target: CliTarget, json: boolean): Promise<void> {
  const status = await callJson(target, {method: 'GET', path: '/admin/status'}, statusSchema);
  print(json, status, () => statusText(status));
}

/**
 * Shows the audit trail.
 *
 * @param target the VM to ask
 * @param after number of the last line already seen
 * @param limit most lines
 * @param json print JSON
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
 * Shows the addresses that callers get.
 *
 * @param target the VM to ask
 * @param zone the caller's availability zone, if any
 * @param json print JSON
 */
export async function runAddresses(
  target: CliTarget,
  zone: string | undefined,
  json: boolean,
): Promise<void> {
  const query = zone === undefined ? '' : `?zone=${encodeURIComponent(zone)}`;
  const answer = await callJson(
    target,
    {method: 'GET', path: `/addresses${query}`},
    addressesSchema,
  );
  print(json, answer, () =>
    answer.addresses.map(({host, port, vm, zone: at}) => `${host}:${port} ${vm} ${at}`).join('\n'),
  );
  if (answer.addresses.length === 0) {
    throw refuse('unavailable', 'no VM takes new work');
  }
}
