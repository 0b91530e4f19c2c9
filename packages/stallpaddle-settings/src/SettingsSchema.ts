/** Schema of the settings of a process, which are validated before it starts. */
import {z} from 'zod';

const SHA256_HEX = /^[0-9a-f]{64}$/;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens')
  .describe('lower-case name');
const port = z.int().min(1).max(65_535).describe('TCP port');
const address = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]).describe('IP address'),
  port,
});
const keyHash = z
  .string()
  .regex(SHA256_HEX, 'expected the SHA-256 of the key in hexadecimal')
  .describe('SHA-256 of the key, in hexadecimal');

const customer = z.strictObject({
  keyHash,
  requestsPerSecond: z.number().positive().nullable().default(null),
  weight: z.number().positive().max(1000).default(1),
});

const engine = z.strictObject({
  checksFencing: z
    .boolean()
    .default(true)
    .describe('whether the engine rejects orders with an old fencing token'),
  host: address.shape.host,
  port,
  role: z.enum(['all', 'online', 'batch', 'off']).default('all'),
  slots: z.int().min(1).max(4096).describe('maximum concurrent streams'),
  zone: name,
});

const service = z.discriminatedUnion('kind', [
  z.strictObject({
    adapters: z.array(name).default([]),
    current: z.string().min(1),
    kind: z.literal('model'),
    model: name,
    versions: z
      .array(z.strictObject({engines: z.array(name).min(1), version: z.string().min(1)}))
      .min(1),
  }),
  z.strictObject({
    kind: z.literal('plain'),
    repeatable: z.boolean().default(false),
    servers: z.array(address).min(1),
  }),
]);

const firstConfiguration = z
  .strictObject({
    customers: z.record(name, customer).default({}),
    engines: z.record(name, engine).default({}),
    services: z.record(name, service).default({}),
  })
  .describe('configuration of a new fleet; ignored once the control group has one');

const disk = z
  .strictObject({
    folder: z.string().min(1).describe('folder for all files; created if missing'),
  })
  .describe('present on VMs that keep replicas');

const limits = z
  .strictObject({
    bodyBytes: z
      .int()
      .min(1024)
      .default(8_388_608)
      .describe('maximum size of a request body, in bytes'),
    connections: z.int().min(1).default(4096).describe('maximum open connections of callers'),
    drainMs: z
      .int()
      .min(0)
      .default(30_000)
      .describe('maximum wait for open requests on a planned stop, in milliseconds'),
    fileBytes: z
      .int()
      .min(1024)
      .default(536_870_912)
      .describe('maximum size of an uploaded file, in bytes'),
    queuedRequests: z.int().min(0).default(256).describe('maximum queued online requests'),
    requestMs: z
      .int()
      .min(100)
      .default(120_000)
      .describe('maximum duration of an online request, in milliseconds'),
    sendMs: z
      .int()
      .min(100)
      .default(15_000)
      .describe('maximum time to receive a request from a caller, in milliseconds'),
  })
  .describe('limits that protect the VM from overload')
  .prefault({});

const vmSettings = z.strictObject({
  $schema: z.string().optional(),
  callers: address.describe('where callers connect'),
  controlReplicas: z
    .array(name)
    .min(1)
    .describe('VMs that initialize the control group and the ledger shards'),
  disk: disk.optional(),
  firstConfiguration: firstConfiguration.prefault({}),
  kind: z.literal('vm'),
  ledgerShards: z
    .int()
    .min(1)
    .max(64)
    .default(2)
    .describe('number of ledger shards; cannot be changed later'),
  limits,
  logFormat: z.enum(['text', 'json']).default('text'),
  operators: z.record(name, z.strictObject({keyHash})).describe('operators who may submit intents'),
  peers: address.describe('where other VMs connect'),
  platformListUrl: z.url().optional().describe("the platform's list of live and leaving VMs"),
  seeds: z
    .array(z.strictObject({host: address.shape.host, port, vm: name}))
    .min(1)
    .describe('VMs with a disk, which a new VM contacts first'),
  vm: name,
  vmKey: z.string().min(16).describe('key that all VMs share'),
  zone: name,
});

const engineStandInSettings = z.strictObject({
  $schema: z.string().optional(),
  checksFencing: z.boolean().default(true),
  engine: name,
  kind: z.literal('engineStandIn'),
  listen: address,
  loaded: z.array(z.string()).default([]).describe('weights loaded at the start'),
  loadMs: z.number().min(0).default(200).describe('time to load weights, in milliseconds'),
  prefillMsPer1kTokens: z.number().min(0).default(40),
  reportLagMs: z.number().min(0).default(100),
  slots: z.int().min(1).default(8),
  tokenMs: z
    .number()
    .min(0)
    .default(10)
    .describe('time per token with an empty batch, in milliseconds'),
});

const serviceStandInSettings = z.strictObject({
  $schema: z.string().optional(),
  kind: z.literal('serviceStandIn'),
  listen: address,
  name,
});

/** Schema of a settings file. */
export const settingsSchema = z.discriminatedUnion('kind', [
  vmSettings,
  engineStandInSettings,
  serviceStandInSettings,
]);

/** Settings of any process. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;
/** Settings of a VM. */
export type VmSettings = Readonly<z.infer<typeof vmSettings>>;
/** Settings of a simulated engine. */
export type EngineStandInSettings = Readonly<z.infer<typeof engineStandInSettings>>;
/** Settings of a simulated plain service. */
export type ServiceStandInSettings = Readonly<z.infer<typeof serviceStandInSettings>>;
/** Limits that protect a VM from overload. */
export type LimitSettings = VmSettings['limits'];

/** Returns the schema as JSON Schema, for editors. */
export function settingsJsonSchema(): unknown {
  return z.toJSONSchema(settingsSchema, {io: 'input'});
}
