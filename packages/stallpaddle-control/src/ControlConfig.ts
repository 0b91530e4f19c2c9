/**
 * Operations on the fleet configuration.
 */
import type {EngineId} from 'stallpaddle';

import {Map as ImmutableMap} from 'immutable';
import {unreachable} from 'stallpaddle';

import type {
  ConfigChange,
  CustomerConfig,
  EngineConfig,
  FleetConfig,
  ReplacementConfig,
  ServiceConfig,
  VmConfig,
} from './ControlTypes';

/** The configuration without any records. */
export const EMPTY_CONFIG: FleetConfig = {
  customers: ImmutableMap<string, CustomerConfig>(),
  engines: ImmutableMap<string, EngineConfig>(),
  replacements: ImmutableMap<string, ReplacementConfig>(),
  services: ImmutableMap<string, ServiceConfig>(),
  vms: ImmutableMap<string, VmConfig>(),
};

function setOrRemove<Row>(
  table: ImmutableMap<string, Row>,
  key: string,
  record: Row | null,
): ImmutableMap<string, Row> {
  return record === null ? table.remove(key) : table.set(key, record);
}

function applyChange(config: FleetConfig, change: ConfigChange): FleetConfig {
  switch (change.table) {
    case 'customers':
      return {...config, customers: setOrRemove(config.customers, change.key, change.record)};
    case 'engines':
      return {...config, engines: setOrRemove(config.engines, change.key, change.record)};
    case 'replacements':
      return {...config, replacements: setOrRemove(config.replacements, change.key, change.record)};
    case 'services':
      return {...config, services: setOrRemove(config.services, change.key, change.record)};
    case 'vms':
      return {...config, vms: setOrRemove(config.vms, change.key, change.record)};
    default:
      return unreachable(change);
  }
}

/**
 * Applies changes in order and returns the new configuration.
 *
 * @param config configuration to change
 * @param changes records to set or remove
 */
export function applyChanges(config: FleetConfig, changes: readonly ConfigChange[]): FleetConfig {
  return changes.reduce(applyChange, config);
}

/**
 * Returns the changes that build a configuration from the empty one.
 *
 * @param config configuration to convert
 */
export function configToChanges(config: FleetConfig): readonly ConfigChange[] {
  const rows = <Table extends ConfigChange['table']>(table: Table): readonly ConfigChange[] =>
    [...(config[table] as ImmutableMap<string, never>)].map(
      ([key, record]) => ({key, record, table}) as unknown as ConfigChange,
    );
  return [
    ...rows('customers'),
    ...rows('engines'),
    ...rows('replacements'),
    ...rows('services'),
    ...rows('vms'),
  ];
}

/**
 * Name of a model version in calls to engines.
 *
 * @param model name of the model
 * @param version version of the model
 */
export function weightsName(model: string, version: string): string {
  return `${model}@${version}`;
}

/**
 * Names of all weights and adapters that an engine should hold, sorted.
 *
 * @param config configuration in force
 * @param engine the engine
 */
export function engineTarget(config: FleetConfig, engine: EngineId): readonly string[] {
  const names: string[] = [];
  for (const service of config.services.values()) {
    if (service.kind !== 'model') {
      continue;
    }
    for (const {engines, version} of service.versions) {
      if (engines.includes(engine)) {
        const name = weightsName(service.model, version);
        names.push(name, ...service.adapters.map((adapter) => `${name}+${adapter}`));
      }
    }
  }
  return [...new Set(names)].sort();
}

/**
 * Total slots of the engines that serve a service's current version.
 *
 * @param config configuration in force
 * @param name name of the service
 */
export function serviceSlots(config: FleetConfig, name: string): number {
  return currentEngines(config, name).reduce((sum, id) => {
    const engine = config.engines.get(id);
    return engine === undefined || engine.role === 'off' ? sum : sum + engine.slots;
  }, 0);
}

/**
 * Engines that should serve a service's current version, regardless of their role.
 *
 * @param config configuration in force
 * @param name name of the service
 */
export function currentEngines(config: FleetConfig, name: string): readonly EngineId[] {
  const service = config.services.get(name);
  if (service?.kind !== 'model') {
    return [];
  }
  return service.versions.find(({version}) => version === service.current)?.engines ?? [];
}

/** Service, weights and engines that a caller's model name resolves to. */
export interface ResolvedModel {
  /** Engines that should serve the model. */
  readonly engines: readonly EngineId[];
  readonly service: string;
  /** Name of the weights in calls to engines. */
  readonly weights: string;
}

/** Separates service and adapter in model names sent by callers. */
const ADAPTER_SEPARATOR = ':';

/**
 * Resolves a caller's model name of the form `service` or `service:adapter`.
 *
 * @param config configuration in force
 * @param name model name as sent by the caller
 */
export function resolveModel(config: FleetConfig, name: string): ResolvedModel | undefined {
  const [serviceName = '', adapter] = name.split(ADAPTER_SEPARATOR, 2);
  const service = config.services.get(serviceName);
  if (service?.kind !== 'model') {
    return undefined;
  }
  if (adapter !== undefined && !service.adapters.includes(adapter)) {
    return undefined;
  }
  const base = weightsName(service.model, service.current);
  const weights = adapter === undefined ? base : `${base}+${adapter}`;
  return {engines: currentEngines(config, serviceName), service: serviceName, weights};
}

/**
 * Model names that callers may use, sorted.
 *
 * @param config configuration in force
 */
export function modelNames(config: FleetConfig): readonly string[] {
  return [...config.services]
    .flatMap(([name, service]) =>
      service.kind === 'model'
        ? [name, ...service.adapters.map((adapter) => name + ADAPTER_SEPARATOR + adapter)]
        : [],
    )
    .sort();
}
