/**
 * Computes the plan for an intent. Steps, warnings and reasons are stored in the replicated state, so the same
 * intent must produce the same texts on every replica.
 */
import {unreachable} from 'stallpaddle';

import type {
  CapacityChange,
  ConfigChange,
  FleetConfig,
  Intent,
  ModelVersion,
  PlanContent,
  PlanStep,
  ServiceConfig,
} from './ControlTypes';

import {applyChanges, currentEngines, serviceSlots, weightsName} from './ControlConfig';

/** Refusal of an intent that can't be planned. */
export interface PlanRefusal {
  readonly kind: 'refused';
  readonly reason: string;
}

/** The plan's content, or a refusal. */
export type PlanResult = PlanRefusal | {readonly content: PlanContent; readonly kind: 'planned'};

type ModelService = Extract<ServiceConfig, {kind: 'model'}>;

interface Draft {
  readonly changes: readonly ConfigChange[];
  readonly steps: readonly PlanStep[];
  readonly warnings?: readonly string[];
}

function refused(reason: string): PlanRefusal {
  return {kind: 'refused', reason};
}

function isRefusal(value: Draft | PlanRefusal): value is PlanRefusal {
  return 'kind' in value;
}

function step(description: string, targets: readonly string[]): PlanStep {
  return {description, targets};
}

function refuseMissingEngines(
  config: FleetConfig,
  engines: readonly string[],
): PlanRefusal | undefined {
  if (engines.length === 0) {
    return refused('at least one engine must be named');
  }
  const missing = engines.filter((engine) => !config.engines.has(engine));
  return missing.length > 0 ? refused(`no engine ${missing.join(', ')}`) : undefined;
}

function putService(service: string, record: ServiceConfig): ConfigChange {
  return {key: service, record, table: 'services'};
}

function planCreateService(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'createService'}>,
): Draft | PlanRefusal {
  if (config.services.has(intent.service)) {
    return refused(`service ${intent.service} exists`);
  }
  const missing = refuseMissingEngines(config, intent.engines);
  if (missing !== undefined) {
    return missing;
  }
  const {engines, model, service, version} = intent;
  return {
    changes: [
      putService(service, {
        adapters: intent.adapters ?? [],
        current: version,
        kind: 'model',
        model,
        versions: [{engines, version}],
      }),
    ],
    steps: [
      step(`load ${weightsName(model, version)}`, engines),
      step(`route service ${service} to it`, engines),
    ],
  };
}

function planCreatePlainService(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'createPlainService'}>,
): Draft | PlanRefusal {
  if (config.services.has(intent.service)) {
    return refused(`service ${intent.service} exists`);
  }
  if (intent.servers.length === 0) {
    return refused('at least one backend server must be named');
  }
  const {repeatable, servers, service} = intent;
  return {
    changes: [putService(service, {kind: 'plain', repeatable, servers})],
    steps: [
      step(
        `route path /services/${service}`,
        servers.map(({host, port}) => `${host}:${port}`),
      ),
    ],
  };
}

function modelService(config: FleetConfig, name: string): ModelService | PlanRefusal {
  const service = config.services.get(name);
  if (service === undefined) {
    return refused(`no service ${name}`);
  }
  return service.kind === 'model' ? service : refused(`service ${name} has no models`);
}

function planAddModelVersion(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'addModelVersion'}>,
): Draft | PlanRefusal {
  const existing = modelService(config, intent.service);
  if (existing.kind === 'refused') {
    return existing;
  }
  const missing = refuseMissingEngines(config, intent.engines);
  if (missing !== undefined) {
    return missing;
  }
  const {engines, makeCurrent, service, version} = intent;
  if (existing.versions.some((other) => other.version === version)) {
    return refused(`service ${service} has version ${version}`);
  }
  const added: ModelVersion = {engines, version};
  const record: ModelService = {
    ...existing,
    current: makeCurrent ? version : existing.current,
    versions: [...existing.versions, added],
  };
  const load = step(`load ${weightsName(existing.model, version)}`, engines);
  const route = step(`answer service ${service} by version ${version}`, engines);
  return {changes: [putService(service, record)], steps: makeCurrent ? [load, route] : [load]};
}

function planRemoveModelVersion(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'removeModelVersion'}>,
): Draft | PlanRefusal {
  const existing = modelService(config, intent.service);
  if (existing.kind === 'refused') {
    return existing;
  }
  const removed = existing.versions.find(({version}) => version === intent.version);
  if (removed === undefined) {
    return refused(`service ${intent.service} has no version ${intent.version}`);
  }
  if (existing.current === intent.version) {
    return refused(`version ${intent.version} answers service ${intent.service}`);
  }
  const versions = existing.versions.filter((version) => version !== removed);
  return {
    changes: [putService(intent.service, {...existing, versions})],
    steps: [step(`unload ${weightsName(existing.model, intent.version)}`, removed.engines)],
  };
}

function planAddAdapter(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'addAdapter'}>,
): Draft | PlanRefusal {
  const existing = modelService(config, intent.service);
  if (existing.kind === 'refused') {
    return existing;
  }
  if (existing.adapters.includes(intent.adapter)) {
    return refused(`service ${intent.service} has adapter ${intent.adapter}`);
  }
  const engines = [...new Set(existing.versions.flatMap((version) => version.engines))];
  const record = {...existing, adapters: [...existing.adapters, intent.adapter]};
  return {
    changes: [putService(intent.service, record)],
    steps: [step(`load adapter ${intent.adapter}`, engines)],
  };
}

function planSetEngineRole(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'setEngineRole'}>,
): Draft | PlanRefusal {
  const existing = config.engines.get(intent.engine);
  if (existing === undefined) {
    return refused(`no engine ${intent.engine}`);
  }
  if (existing.role === intent.role) {
    return refused(`engine ${intent.engine} has role ${intent.role}`);
  }
  const record = {...existing, role: intent.role};
  return {
    changes: [{key: intent.engine, record, table: 'engines'}],
    steps: [step(`use for ${intent.role} from now on`, [intent.engine])],
    warnings: lastServerWarnings(config, intent.engine, intent.role),
  };
}

function lastServerWarnings(config: FleetConfig, engine: string, role: string): readonly string[] {
  const servesOnline = (id: string): boolean => {
    const candidate = config.engines.get(id);
    return candidate !== undefined && (candidate.role === 'all' || candidate.role === 'online');
  };
  if (role === 'all' || role === 'online') {
    return [];
  }
  return [...config.services.keys()]
    .filter((name) => currentEngines(config, name).includes(engine))
    .filter((name) => !currentEngines(config, name).some((id) => id !== engine && servesOnline(id)))
    .map((name) => `${engine} is the last engine that answers online requests of ${name}`);
}

function planDrainVm(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'drainVm' | 'undrainVm'}>,
): Draft | PlanRefusal {
  const draining = intent.kind === 'drainVm';
  if ((config.vms.get(intent.vm)?.draining ?? false) === draining) {
    return refused(`VM ${intent.vm} is ${draining ? 'draining' : 'not draining'}`);
  }
  return {
    changes: [{key: intent.vm, record: draining ? {draining} : null, table: 'vms'}],
    steps: draining
      ? [
          step('leave the addresses and refuse new work', [intent.vm]),
          step('let open requests end and give leases back', [intent.vm]),
        ]
      : [step('take new work again', [intent.vm])],
  };
}

function planReplaceReplica(
  config: FleetConfig,
  intent: Extract<Intent, {kind: 'replaceReplica'}>,
): Draft | PlanRefusal {
  const {group, joining, leaving} = intent;
  const ongoing = [...config.replacements.values()].find(
    (replacement) => replacement.group === group,
  );
  if (ongoing !== undefined) {
    return refused(`group ${group} is replacing ${ongoing.leaving} by ${ongoing.joining}`);
  }
  return {
    changes: [
      {key: `${group} ${leaving}`, record: {group, joining, leaving}, table: 'replacements'},
    ],
    steps: [
      step(`copy group ${group} without a vote`, [joining]),
      step('give it a vote once it has caught up', [joining]),
      step('take the vote from the lost one', [leaving]),
    ],
    warnings: [
      `until this has ended, group ${group} stands one more failure only if the others stay`,
    ],
  };
}

function draftPlan(config: FleetConfig, intent: Intent): Draft | PlanRefusal {
  switch (intent.kind) {
    case 'addAdapter':
      return planAddAdapter(config, intent);
    case 'addEngine':
      return config.engines.has(intent.engine)
        ? refused(`engine ${intent.engine} exists`)
        : {
            changes: [{key: intent.engine, record: intent.record, table: 'engines'}],
            steps: [step('know the engine; it holds no model yet', [intent.engine])],
          };
    case 'addModelVersion':
      return planAddModelVersion(config, intent);
    case 'createPlainService':
      return planCreatePlainService(config, intent);
    case 'createService':
      return planCreateService(config, intent);
    case 'drainVm':
    case 'undrainVm':
      return planDrainVm(config, intent);
    case 'removeModelVersion':
      return planRemoveModelVersion(config, intent);
    case 'replaceReplica':
      return planReplaceReplica(config, intent);
    case 'setCustomer':
      return {
        changes: [{key: intent.customer, record: intent.record, table: 'customers'}],
        steps: [step('apply key, limit and weight', [intent.customer])],
      };
    case 'setEngineRole':
      return planSetEngineRole(config, intent);
    default:
      return unreachable(intent);
  }
}

function capacityChanges(before: FleetConfig, after: FleetConfig): readonly CapacityChange[] {
  const names = new Set([...before.services.keys(), ...after.services.keys()]);
  return [...names]
    .map((model) => ({
      after: serviceSlots(after, model),
      before: serviceSlots(before, model),
      model,
    }))
    .filter((change) => change.after !== change.before);
}

/**
 * Computes the plan for an intent, or refuses it.
 *
 * @param config configuration that the plan is based on
 * @param intent intent of the operator
 */
export function planIntent(config: FleetConfig, intent: Intent): PlanResult {
  const draft = draftPlan(config, intent);
  if (isRefusal(draft)) {
    return draft;
  }
  const after = applyChanges(config, draft.changes);
  const capacity = capacityChanges(config, after);
  const noCapacity = capacity
    .filter((change) => change.after === 0 && change.before > 0)
    .map((change) => `no engine is left for ${change.model}`);
  const warnings = [...(draft.warnings ?? []), ...noCapacity];
  const {changes, steps} = draft;
  return {content: {capacity, changes, steps, warnings}, kind: 'planned'};
}
