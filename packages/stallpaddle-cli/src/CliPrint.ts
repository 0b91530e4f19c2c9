/**
 * Formats responses as text for the terminal.
 */
import Table from 'cli-table3';
import {unreachable} from 'stallpaddle';

import type {BatchResponse, PlanResponse, StatusResponse} from './CliSchemas';

/**
 * Prints a value as JSON or as text.
 *
 * @param json whether to print JSON
 * @param value value to print as JSON
 * @param text formats the value as text
 */
export function print(json: boolean, value: unknown, text: () => string): void {
  process.stdout.write(`${json ? JSON.stringify(value) : text()}\n`);
}

function table(head: readonly string[], rows: readonly (readonly (number | string)[])[]): string {
  const output = new Table({head: [...head], style: {border: [], head: []}});
  rows.forEach((row) => output.push([...row]));
  return output.toString();
}

function planOutcome({state}: PlanResponse): string {
  switch (state.kind) {
    case 'confirmed':
      return `accepted as revision ${state.revision}, confirmed by ${state.by}`;
    case 'proposed':
      return 'not confirmed: nothing has changed';
    case 'refused':
      return `refused: ${state.reason}`;
    default:
      return unreachable(state);
  }
}

/**
 * Formats a plan with its steps, capacity changes, warnings and outcome.
 *
 * @param plan the plan
 */
export function planText(plan: PlanResponse): string {
  const {capacity, steps, warnings} = plan.content;
  const lines = [
    `Plan ${plan.id} by ${plan.operator}, made on revision ${plan.basis}`,
    ...steps.map(
      (step, index) => `  ${index + 1}. ${step.description}: ${step.targets.join(', ')}`,
    ),
    ...capacity.map(({after, before, model}) => `  slots of ${model}: ${before} -> ${after}`),
    ...warnings.map((warning) => `  WARNING: ${warning}`),
    planOutcome(plan),
  ];
  if (plan.state.kind === 'confirmed') {
    const {everywhere, on, waitingFor} = plan.inForce;
    lines.push(
      everywhere
        ? `in force on all ${on.length} VMs`
        : `in force on ${on.length} VMs, not yet on ${waitingFor.join(', ')}`,
    );
  }
  return lines.join('\n');
}

/**
 * Formats a batch job as one line.
 *
 * @param batch the job
 */
export function batchText(batch: BatchResponse): string {
  const {completed, failed, total} = batch.request_counts;
  return `${batch.id} ${batch.status}: ${completed} done, ${failed} failed, ${total} in total`;
}

/**
 * Formats the status of the fleet as tables.
 *
 * @param status the status
 */
export function statusText(status: StatusResponse): string {
  const vms = status.vms.map((vm) => [
    vm.vm,
    vm.zone,
    vm.live ? (vm.leaving ? 'leaving' : 'live') : 'lost',
    vm.revision,
    `${vm.heardAgeMs} ms`,
  ]);
  const replicas = status.replicas.map((replica) => [
    replica.group,
    replica.role,
    replica.term,
    replica.applied,
    replica.leader ?? 'unknown',
    replica.voters.join('\n'),
  ]);
  const engines = status.engines.map((engine) => [
    engine.engine,
    engine.role,
    `${engine.online}+${engine.batch}/${engine.slots}`,
    engine.loadAgeMs === null ? 'no report' : `${engine.loadAgeMs} ms`,
    engine.weights.join('\n'),
  ]);
  const ledger = status.ledger.map((shard) => [
    shard.shard,
    shard.runningJobs,
    shard.openItems,
    shard.leases,
  ]);
  return [
    `VM ${status.vm}, revision ${status.revision}`,
    table(['VM', 'availability zone', 'state', 'revision', 'last seen'], vms),
    table(['group', 'role here', 'term', 'applied', 'leader', 'voters'], replicas),
    table(['engine', 'role', 'online+batch/slots', 'report age', 'weights'], engines),
    table(['shard', 'running jobs', 'open items', 'leases'], ledger),
  ].join('\n');
}

/**
 * Formats audit entries, one per line.
 *
 * @param entries the entries
 */
export function auditText(
  entries: readonly {
    readonly action: string;
    readonly actor: string;
    readonly at: number;
    readonly detail: string;
    readonly number: number;
    readonly revision: number;
  }[],
): string {
  return entries
    .map(
      ({action, actor, at, detail, number, revision}) =>
        `${number} ${new Date(at).toISOString()} r${revision} ${actor} ${action}: ${detail}`,
    )
    .join('\n');
}
