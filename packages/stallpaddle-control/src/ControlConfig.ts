/**
 * Reading and changing a configuration.
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

/** A configuration that names nothing. */
export const EMPTY_CONFIG: FleetConfig = {
  customers: ImmutableMap<string, CustomerConfig>(),
  engines: ImmutableMap<string, EngineConfig>(),
  replacements: ImmutableMap<string, ReplacementConfig>(),
  services: ImmutableMap<string, ServiceConfig>(),
  vms: ImmutableMap<string, VmConfig>(),
};

function put<Row>(
  table: ImmutableMap<string, Row>,
  key: string,
  record: Row | null,
): ImmutableMap<string, Row> {
  return record === null ? table.remove(key) : table.set(key, record);
}

function applyChange(config: FleetConfig, change: ConfigChange): FleetConfig {
  switch (change.table) {
    case 'customers':
      return {...config, customers: put(config.customers, change.key, change.record)};
    case 'engines':
      return {...config, engines: put(config.engines, change.key, change.record)};
    case 'replacements':
      return {...config, replacements: put(config.replacements, change.key, change.record)};
    case 'services':
      return {...config, services: put(config.services, change.key, change.record)};
    case 'vms':
      return {...config, vms: put(config.vms, change.key, change.record)};
    default:
      return unreachable(change);
  }
}

/**
 * Applies changes in order.
 *
 * @param config present configuration
 * @param changes records to put or remove
 */
export function applyChanges(config: FleetConfig, changes: readonly ConfigChange[]): FleetConfig {
  return changes.reduce(applyChange, config);
}

/**
 * The changes that build a configuration from nothing.
 *
 * @param config a configuration
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
 * Name of a model version as engines know it.
 *
 * @param model name of the weights
 * @param version its version
 */
export function weightsName(model: string, version: string): string {
  return `${model}@${version}`;
}

/**
 * Everything that an engine shall hold, sorted.
 *
 * @param config a configuration
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
 * Slots of the engines that serve a service's current version.
 *
 * @param config a configuration
 * @param name the service
 */
export function serviceSlots(config: FleetConfig, name: string): number {
  return currentEngines(config, name).reduce((sum, id) => {
    const engine = config.engines.get(id);
    return engine === undefined || engine.role === 'off' ? sum : sum + engine.slots;
  }, 0);
}

/**
 * Engines that shall serve a service's current version, whatever their role.
 *
 * @param config a configuration
 * @param name the service
 */
export function currentEngines(config: FleetConfig, name: string): readonly EngineId[] {
  const service = config.services.get(name);
  if (service?.kind !== 'model') {
    return [];
  }
  return service.versions.find(({version}) => version === service.current)?.engines ?? [];
}

/** What a model name that a caller sent stands for. */
export interface ResolvedModel {
  /** Engines that shall serve it. */
  readonly engines: readonly EngineId[];
  readonly service: string;
  /** Name of the weights as engines know them. */
  readonly weights: string;
}

/** Separates a service from one of its adapters in the model names of callers. */
const ADAPTER_SEPARATOR = ':';

/**
 * Finds what a caller's model name stands for: `service`, or `service:adapter`.
 *
 * @param config configuration in force
 * @param name model name as sent
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
