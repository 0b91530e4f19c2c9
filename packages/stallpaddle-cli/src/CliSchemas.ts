/**
 * Schemas of the response fields that the command line reads.
 */
import {z} from 'zod';

/** Response with a plan. */
export const planSchema = z.looseObject({
  basis: z.number(),
  content: z.looseObject({
    capacity: z.array(z.object({after: z.number(), before: z.number(), model: z.string()})),
    steps: z.array(z.object({description: z.string(), targets: z.array(z.string())})),
    warnings: z.array(z.string()),
  }),
  id: z.string(),
  inForce: z.object({
    everywhere: z.boolean(),
    on: z.array(z.string()),
    waitingFor: z.array(z.string()),
  }),
  operator: z.string(),
  state: z.discriminatedUnion('kind', [
    z.object({at: z.number(), by: z.string(), kind: z.literal('confirmed'), revision: z.number()}),
    z.object({at: z.number(), by: z.string(), kind: z.literal('refused'), reason: z.string()}),
    z.object({kind: z.literal('proposed')}),
  ]),
});

/** Response with a batch job. */
export const batchSchema = z.looseObject({
  error_file_id: z.string().nullable(),
  id: z.string(),
  output_file_id: z.string().nullable(),
  request_counts: z.object({completed: z.number(), failed: z.number(), total: z.number()}),
  status: z.string(),
});

/** Response with an uploaded file. */
export const fileSchema = z.looseObject({id: z.string(), items: z.number()});

/** Response with entries of the audit trail. */
export const auditSchema = z.object({
  entries: z.array(
    z.object({
      action: z.string(),
      actor: z.string(),
      at: z.number(),
      detail: z.string(),
      number: z.number(),
      planId: z.string().nullable(),
      revision: z.number(),
    }),
  ),
});

/** Response with the addresses that callers should use. */
export const addressesSchema = z.object({
  addresses: z.array(
    z.object({host: z.string(), port: z.number(), vm: z.string(), zone: z.string()}),
  ),
  lifetimeMs: z.number(),
});

/** Response with the status of the fleet. */
export const statusSchema = z.looseObject({
  engines: z.array(
    z.looseObject({
      batch: z.number(),
      engine: z.string(),
      loadAgeMs: z.number().nullable(),
      online: z.number(),
      owned: z.boolean(),
      role: z.string(),
      slots: z.number(),
      weights: z.array(z.string()),
    }),
  ),
  ledger: z.array(
    z.looseObject({
      leases: z.number(),
      openItems: z.number(),
      runningJobs: z.number(),
      shard: z.number(),
    }),
  ),
  replicas: z.array(
    z.looseObject({
      applied: z.number(),
      group: z.string(),
      leader: z.string().nullable(),
      role: z.string(),
      term: z.number(),
      voters: z.array(z.string()),
    }),
  ),
  revision: z.number(),
  vm: z.string(),
  vms: z.array(
    z.looseObject({
      heardAgeMs: z.number(),
      leaving: z.boolean(),
      live: z.boolean(),
      revision: z.number(),
      vm: z.string(),
      zone: z.string(),
    }),
  ),
});

/** Parsed response with a plan. */
export type PlanResponse = z.infer<typeof planSchema>;
/** Parsed response with a batch job. */
export type BatchResponse = z.infer<typeof batchSchema>;
/** Parsed response with the status of the fleet. */
export type StatusResponse = z.infer<typeof statusSchema>;
