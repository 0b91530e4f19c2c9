/**
 * What the command line reads out of answers.
 */
import {z} from 'zod';

/** A plan as the server shows it. */
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

/** A batch job as the server shows it. */
export const batchSchema = z.looseObject({
  error_file_id: z.string().nullable(),
  id: z.string(),
  output_file_id: z.string().nullable(),
  request_counts: z.object({completed: z.number(), failed: z.number(), total: z.number()}),
  status: z.string(),
});

/** An uploaded file as the server shows it. */
export const fileSchema = z.looseObject({id: z.string(), items: z.number()});

/** Lines of the audit trail. */
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

/** Addresses for callers. */
export const addressesSchema = z.object({
  addresses: z.array(
    z.object({host: z.string(), port: z.number(), vm: z.string(), zone: z.string()}),
  ),
  lifetimeMs: z.number(),
});

/** The fleet's state. */
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

/** A plan as the server shows it. */
export type PlanResponse = z.infer<typeof planSchema>;
/** A batch job as the server shows it. */
export type BatchResponse = z.infer<typeof batchSchema>;
/** The fleet's state. */
export type StatusResponse = z.infer<typeof statusSchema>;
