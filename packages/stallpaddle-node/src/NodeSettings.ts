/** Settings of a process: a JSON document with a strict schema. */
import type {VmSize} from 'stallpaddle-capacity';

import * as z from 'zod/mini';

import {SECOND_MS} from './NodeConstants';

/** IP address and port; an empty string stands for none. */
const address = z.pipe(
  z.string().check(z.regex(/^$|^[0-9.]+:\d+$/)),
  z.transform((text) => (text === '' ? null : text)),
);

/** A duration with its unit, such as `1200ms` or `4.5s`; parsed to milliseconds. */
const duration = z.pipe(
  z.string().check(z.regex(/^\d+(\.\d+)?(ms|s)$/)),
  z.transform((text) => parseFloat(text) * (text.endsWith('ms') ? 1 : SECOND_MS)),
);

/** Time limits that the operator guarantees to callers and engines. */
const boundsSchema = z.object({
  /** Time in which a change by the operator or an engine must be acknowledged. */
  acknowledge: duration,
  /** Time in which an acknowledged configuration must be in force. */
  apply: duration,
  /** Time after which an engine that leaves must receive no more requests. */
  drain: duration,
  /** Grace period between the signal to stop and the end. */
  grace: duration,
  /** Time between two reports of an engine. */
  report: duration,
});

/** Resources of the VM; 0 for unknown. */
const sizeSchema = z.object({
  /** Processor cores. */
  cores: z.number().check(z.nonnegative()),
  /** Fraction of each core that the VM may use. */
  coreShare: z.number().check(z.nonnegative()),
  /** Maximum number of open file descriptors. */
  descriptors: z.number().check(z.nonnegative()),
  linkMbps: z.number().check(z.nonnegative()),
  memoryMb: z.number().check(z.nonnegative()),
});

const featureSwitch = z.optional(z.enum(['auto', 'off', 'on']));

const settingsSchema = z.object({
  bounds: boundsSchema,
  /** Address for callers; empty for a process that serves none. */
  callers: address,
  /** Address for engines and the operator. */
  control: address,
  /** Folder on a persistent disk; empty without one. */
  dataFolder: z.string(),
  /** Address at which callers look up entry VMs. */
  directory: address,
  /** Switches of optional features; `auto` where none is set. */
  features: z.optional(
    z.strictObject({
      admission: featureSwitch,
      batchPacking: featureSwitch,
      engineSpeeds: featureSwitch,
      fairShares: featureSwitch,
      vmWeights: featureSwitch,
    }),
  ),
  /** True only when the whole fleet starts for the first time, with empty disks. */
  first: z.boolean(),
  host: z.string(),
  /** Simultaneous losses that must not affect acknowledged data. */
  losses: z.object({
    regions: z.number().check(z.nonnegative()),
    vms: z.number().check(z.nonnegative()),
    zones: z.number().check(z.nonnegative()),
  }),
  /** Address of the metrics, at the path `/metrics`. */
  metrics: address,
  name: z.string(),
  /** Port to listen on for calls of other processes where it differs from `peerPort`, as behind a proxy. */
  peerListenPort: z.optional(z.number()),
  /** Port for calls between processes; the same on all VMs. */
  peerPort: z.number(),
  /** Address of the readiness check. */
  ready: address,
  role: z.enum(['front', 'store']),
  /** Size of the VM. */
  size: z.optional(sizeSchema),
  /** Control addresses of VMs that are contacted first. */
  seeds: z.array(z.string().check(z.regex(/^[0-9.]+:\d+$/))),
  zone: z.string(),
});

/** Settings of a process, after validation. */
export type NodeSettings = Readonly<z.infer<typeof settingsSchema>>;

/** The settings don't match the schema. */
export class NodeSettingsError extends Error {
  override readonly name = 'NodeSettingsError';
}

/**
 * Parses and validates settings.
 *
 * @param text JSON
 * @throws {NodeSettingsError} names the first invalid field
 * @throws {SyntaxError} when the text is not JSON
 */
export function parseNodeSettings(text: string): NodeSettings {
  const result = z.safeParse(settingsSchema, JSON.parse(text));
  if (!result.success) {
    const [issue] = result.error.issues;
    throw new NodeSettingsError(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
  }
  return result.data;
}

/**
 * Number of disks that may be lost at once. Replicas are spread over availability zones, so the loss of a zone is the loss
 * of one disk.
 *
 * @param settings the settings
 */
export function toleratedDiskLosses({losses}: NodeSettings): number {
  return Math.max(losses.vms, losses.zones, losses.regions);
}

/**
 * Size of the VM; fields that the settings don't name are absent.
 *
 * @param settings the settings
 */
export function vmSize({dataFolder, size}: NodeSettings): VmSize {
  if (size === undefined || size.cores === 0) {
    return {};
  }
  const {cores, coreShare, descriptors, linkMbps, memoryMb} = size;
  const hasDisk = dataFolder !== '';
  return {cores: cores * coreShare, descriptors, hasDisk, linkMbps, memoryMb};
}

/**
 * Host of an address.
 *
 * @param text IP address and port
 */
export function hostOf(text: string): string {
  return text.slice(0, text.lastIndexOf(':'));
}

/**
 * Port of an address.
 *
 * @param text IP address and port
 */
export function portOf(text: string): number {
  return Number(text.slice(text.lastIndexOf(':') + 1));
}
