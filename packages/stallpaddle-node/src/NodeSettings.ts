/**
 * Settings of one process of a fleet whose engines register themselves: JSON, checked whole.
 */
import * as z from 'zod/mini';

import {SECOND_MS} from './NodeConstants';

/** IP number and port; an empty text stands for none. */
const address = z.pipe(
  z.string().check(z.regex(/^$|^[0-9.]+:\d+$/)),
  z.transform((text) => (text === '' ? null : text)),
);

/** A time with its unit, such as `1200ms` or `4.5s`; in milliseconds once it was read. */
const duration = z.pipe(
  z.string().check(z.regex(/^\d+(\.\d+)?(ms|s)$/)),
  z.transform((text) => parseFloat(text) * (text.endsWith('ms') ? 1 : SECOND_MS)),
);

/** Bounds that the operator promises callers and engines. */
const boundsSchema = z.object({
  /** Time in which an order of the operator or an engine must be acknowledged. */
  acknowledge: duration,
  /** Time in which an acknowledged configuration must be in force. */
  apply: duration,
  /** Time in which an engine that leaves must get nothing more. */
  drain: duration,
  /** Time between the signal to stop and the end. */
  grace: duration,
  /** Time between two reports of an engine. */
  report: duration,
});

const settingsSchema = z.object({
  bounds: boundsSchema,
  /** Where callers reach this process; empty for one that serves none. */
  callers: address,
  /** Where engines and the operator reach this process. */
  control: address,
  /** Folder on a disk of its own; empty without one. */
  dataFolder: z.string(),
  /** Where callers ask which VM to use. */
  directory: address,
  /** True only when the whole fleet starts for the first time, with empty disks. */
  first: z.boolean(),
  host: z.string(),
  /** What may be lost at once while everything that was acknowledged stays. */
  losses: z.object({
    regions: z.number().check(z.nonnegative()),
    vms: z.number().check(z.nonnegative()),
    zones: z.number().check(z.nonnegative()),
  }),
  /** Where metrics are read, at the path `/metrics`. */
  metrics: address,
  name: z.string(),
  /** Port on which this process takes calls of the others where a proxy stands before it; else the peer port. */
  peerListenPort: z.optional(z.number()),
  /** Port on which processes of the fleet reach each other; the same on all VMs. */
  peerPort: z.number(),
  /** Where the platform asks whether this process takes callers. */
  ready: address,
  role: z.enum(['front', 'store']),
  /** VMs that serve control calls, to be asked first. */
  seeds: z.array(z.string().check(z.regex(/^[0-9.]+:\d+$/))),
  zone: z.string(),
});

/** See the module's comment. */
export type NodeSettings = Readonly<z.infer<typeof settingsSchema>>;

/** Settings that can't be used. */
export class NodeSettingsError extends Error {
  override readonly name = 'NodeSettingsError';
}

/**
 * Reads settings.
 *
 * @param text JSON
 * @throws {NodeSettingsError} names the first field at fault
 * @throws {SyntaxError} when the text is no JSON
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
 * Disks that may be lost at once. Replicas are spread over zones, so each lost zone takes one disk.
 *
 * @param settings the settings
 */
export function toleratedDiskLosses({losses}: NodeSettings): number {
  return Math.max(losses.vms, losses.zones, losses.regions);
}

/**
 * Host of an address.
 *
 * @param text IP number and port
 */
export function hostOf(text: string): string {
  return text.slice(0, text.lastIndexOf(':'));
}

/**
 * Port of an address.
 *
 * @param text IP number and port
 */
export function portOf(text: string): number {
  return Number(text.slice(text.lastIndexOf(':') + 1));
}
