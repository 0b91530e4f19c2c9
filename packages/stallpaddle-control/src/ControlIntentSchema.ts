/**
 * Validation of intents received from operators.
 */
import {z} from 'zod';

import type {Intent} from './ControlTypes';

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected a lower-case name');
const version = z.string().min(1).max(64);
const engines = z.array(name).min(1);
const role = z.enum(['all', 'online', 'batch', 'off']);
const address = {host: z.union([z.ipv4(), z.ipv6()]), port: z.int().min(1).max(65_535)};
const replica = z.string().regex(/^[a-z0-9-]+\/[0-9a-f]+$/, 'expected vm/incarnation');

const engineRecord = z.strictObject({
  ...address,
  checksFencing: z.boolean(),
  role,
  slots: z.int().min(1).max(4096),
  zone: name,
});

const customerRecord = z.strictObject({
  keyHash: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 in hexadecimal'),
  requestsPerSecond: z.number().positive().nullable(),
  weight: z.number().positive().max(1000),
});

/** Schema of an intent. */
export const intentSchema: z.ZodType<Intent> = z.discriminatedUnion('kind', [
  z.strictObject({
    adapters: z.array(name).optional(),
    engines,
    kind: z.literal('createService'),
    model: name,
    service: name,
    version,
  }),
  z.strictObject({
    kind: z.literal('createPlainService'),
    repeatable: z.boolean(),
    servers: z.array(z.strictObject(address)).min(1),
    service: name,
  }),
  z.strictObject({
    engines,
    kind: z.literal('addModelVersion'),
    makeCurrent: z.boolean(),
    service: name,
    version,
  }),
  z.strictObject({kind: z.literal('removeModelVersion'), service: name, version}),
  z.strictObject({adapter: name, kind: z.literal('addAdapter'), service: name}),
  z.strictObject({engine: name, kind: z.literal('addEngine'), record: engineRecord}),
  z.strictObject({engine: name, kind: z.literal('setEngineRole'), role}),
  z.strictObject({kind: z.enum(['drainVm', 'undrainVm']), vm: name}),
  z.strictObject({customer: name, kind: z.literal('setCustomer'), record: customerRecord}),
  z.strictObject({
    group: name,
    joining: replica,
    kind: z.literal('replaceReplica'),
    leaving: replica,
  }),
]);
