/**
 * Generates the settings of all processes of a fleet from a layout, and defines the layouts of the two example users.
 */
import type {EngineStandInSettings, ServiceStandInSettings} from 'stallpaddle-settings';
import type {settingsSchema} from 'stallpaddle-settings';
import type {z} from 'zod';

import {createHash} from 'node:crypto';

/** Settings before defaults are filled in. */
export type SettingsInput = z.input<typeof settingsSchema>;
type VmInput = Extract<SettingsInput, {kind: 'vm'}>;
type EngineStandInInput = Extract<SettingsInput, {kind: 'engineStandIn'}>;

/** A customer with its API key. */
export interface LayoutCustomer {
  readonly key: string;
  readonly name: string;
  readonly requestsPerSecond?: number;
}

/** Size, addresses and services of a fleet. */
export interface FleetLayout {
  readonly customers: readonly LayoutCustomer[];
  /** Number of VMs with a disk; these have the lowest indexes. */
  readonly diskVms: number;
  readonly engineSlots: number;
  readonly engines: number;
  /** First three numbers of the loopback addresses, such as `127.0.1`. */
  readonly network: string;
  /** Data folder, as written in the settings of the VMs. */
  readonly folder: string;
  readonly ledgerShards: number;
  readonly model: string;
  readonly operatorKey: string;
  readonly plainServices: readonly string[];
  readonly prefix: string;
  /** Model services of the first configuration. */
  readonly services: readonly string[];
  readonly standIn?: Partial<EngineStandInInput>;
  readonly limits?: VmInput['limits'];
  readonly platformListUrl?: string;
  readonly vms: number;
  readonly zones: readonly string[];
}

/** Name and settings of one process of a fleet. */
export interface LayoutProcess {
  readonly name: string;
  readonly settings: SettingsInput;
}

const CALLER_PORT = 8000;
const PEER_PORT = 9000;
const BACKEND_PORT = 7000;
const FIRST_VM_HOST = 11;
const FIRST_ENGINE_HOST = 101;
const FIRST_SERVICE_HOST = 201;
const VERSION = '1';

function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function vmName(layout: FleetLayout, index: number): string {
  return `${layout.prefix}-vm-${index + 1}`;
}

/**
 * Returns the name of an engine.
 *
 * @param layout layout of the fleet
 * @param index index of the engine, from 0
 */
export function engineName(layout: FleetLayout, index: number): string {
  return `${layout.prefix}-engine-${index + 1}`;
}

/**
 * Returns the address of an engine.
 *
 * @param layout layout of the fleet
 * @param index index of the engine, from 0
 */
export function engineAddress(
  layout: FleetLayout,
  index: number,
): {readonly host: string; readonly port: number} {
  return {host: `${layout.network}.${FIRST_ENGINE_HOST + index}`, port: BACKEND_PORT};
}

/**
 * Returns the address of the server of a plain service.
 *
 * @param layout layout of the fleet
 * @param index index of the service in `plainServices`, from 0
 */
export function serviceAddress(
  layout: FleetLayout,
  index: number,
): {readonly host: string; readonly port: number} {
  return {host: `${layout.network}.${FIRST_SERVICE_HOST + index}`, port: BACKEND_PORT};
}

/**
 * Returns the address on which a VM accepts requests of callers.
 *
 * @param layout layout of the fleet
 * @param index index of the VM, from 0
 */
export function vmAddress(
  layout: FleetLayout,
  index: number,
): {readonly host: string; readonly port: number} {
  return {host: `${layout.network}.${FIRST_VM_HOST + index}`, port: CALLER_PORT};
}

function zoneOf(layout: FleetLayout, index: number): string {
  return layout.zones[index % layout.zones.length]!;
}

function firstConfiguration(layout: FleetLayout): VmInput['firstConfiguration'] {
  const engines = Array.from({length: layout.engines}, (_, index) => engineName(layout, index));
  return {
    customers: Object.fromEntries(
      layout.customers.map(({key, name, requestsPerSecond = null}) => [
        name,
        {keyHash: sha256Hex(key), requestsPerSecond, weight: 1},
      ]),
    ),
    engines: Object.fromEntries(
      engines.map((name, index) => [
        name,
        {
          ...engineAddress(layout, index),
          checksFencing: layout.standIn?.checksFencing ?? true,
          role: 'all' as const,
          slots: layout.engineSlots,
          zone: zoneOf(layout, index),
        },
      ]),
    ),
    services: {
      ...Object.fromEntries(
        layout.services.map((service) => [
          service,
          {
            current: VERSION,
            kind: 'model' as const,
            model: layout.model,
            versions: [{engines, version: VERSION}],
          },
        ]),
      ),
      ...Object.fromEntries(
        layout.plainServices.map((service, index) => [
          service,
          {kind: 'plain' as const, repeatable: false, servers: [serviceAddress(layout, index)]},
        ]),
      ),
    },
  };
}

function vmSettings(layout: FleetLayout, index: number): VmInput {
  const peersOf = (vm: number): {readonly host: string; readonly port: number} => ({
    host: vmAddress(layout, vm).host,
    port: PEER_PORT,
  });
  const disks = Array.from({length: layout.diskVms}, (_, vm) => vm);
  const hasDisk = index < layout.diskVms;
  return {
    callers: vmAddress(layout, index),
    controlReplicas: disks.map((vm) => vmName(layout, vm)),
    ...(hasDisk ? {disk: {folder: `${layout.folder}/${vmName(layout, index)}`}} : {}),
    ...(hasDisk ? {firstConfiguration: firstConfiguration(layout)} : {}),
    kind: 'vm',
    ledgerShards: layout.ledgerShards,
    ...(layout.limits === undefined ? {} : {limits: layout.limits}),
    operators: {admin: {keyHash: sha256Hex(layout.operatorKey)}},
    peers: peersOf(index),
    ...(layout.platformListUrl === undefined ? {} : {platformListUrl: layout.platformListUrl}),
    seeds: disks.map((vm) => ({...peersOf(vm), vm: vmName(layout, vm)})),
    vm: vmName(layout, index),
    vmKey: `${layout.prefix}-vm-key-change-me`,
    zone: zoneOf(layout, index),
  };
}

/**
 * Returns the names and settings of all VMs of a fleet.
 *
 * @param layout layout of the fleet
 */
export function vmProcesses(layout: FleetLayout): readonly LayoutProcess[] {
  return Array.from({length: layout.vms}, (_, index) => ({
    name: vmName(layout, index),
    settings: vmSettings(layout, index),
  }));
}

/**
 * Returns the names and settings of the stand-ins for all backend servers of a fleet.
 *
 * @param layout layout of the fleet
 */
export function standInProcesses(layout: FleetLayout): readonly LayoutProcess[] {
  const loaded = layout.services.length > 0 ? [`${layout.model}@${VERSION}`] : [];
  const engines = Array.from({length: layout.engines}, (_, index): LayoutProcess => {
    const settings: Partial<EngineStandInSettings> = {slots: layout.engineSlots, ...layout.standIn};
    return {
      name: engineName(layout, index),
      settings: {
        ...settings,
        engine: engineName(layout, index),
        kind: 'engineStandIn',
        listen: engineAddress(layout, index),
        loaded,
      },
    };
  });
  const services = layout.plainServices.map((name, index): LayoutProcess => {
    const settings: ServiceStandInSettings = {
      kind: 'serviceStandIn',
      listen: serviceAddress(layout, index),
      name,
    };
    return {name: `${layout.prefix}-${name}`, settings};
  });
  return [...engines, ...services];
}

/** Northeast Registry Filings: three availability zones, eight engines. */
export const REGISTRY_LAYOUT: FleetLayout = {
  customers: [
    {key: 'registry-counter-key', name: 'counter'},
    {key: 'registry-accountants-key', name: 'accountants'},
  ],
  diskVms: 3,
  engines: 8,
  engineSlots: 8,
  folder: 'data/registry',
  ledgerShards: 2,
  model: 'balcao',
  network: '127.0.1',
  operatorKey: 'registry-operator-key',
  plainServices: ['deadlines'],
  prefix: 'registry',
  services: ['balcao-llm'],
  vms: 9,
  zones: ['recife-a', 'fortaleza-b', 'salvador-c'],
};

/** Lavandería Norte: three availability zones, thirteen engines. */
export const LAVANDERIA_LAYOUT: FleetLayout = {
  customers: [
    {key: 'lavanderia-phone-key', name: 'phone'},
    {key: 'lavanderia-routes-key', name: 'routes'},
  ],
  diskVms: 3,
  engines: 13,
  engineSlots: 8,
  folder: 'data/lavanderia',
  ledgerShards: 2,
  model: 'ropa',
  network: '127.0.2',
  operatorKey: 'lavanderia-operator-key',
  plainServices: ['vans'],
  prefix: 'lavanderia',
  services: ['asistente-ropa'],
  vms: 12,
  zones: ['hall-deusto', 'hall-barakaldo', 'hall-santurtzi'],
};
