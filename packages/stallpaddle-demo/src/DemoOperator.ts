/**
 * Client of the admin API that plans and confirms configuration changes.
 */
import type {Intent} from 'stallpaddle-control';

import {delay} from 'stallpaddle';
import {callServer} from 'stallpaddle-load';
import {z} from 'zod';

interface Address {
  readonly host: string;
  readonly port: number;
}

const POLL_INTERVAL_MS = 50;
const TIMEOUT_MS = 15_000;

const planSchema = z.looseObject({
  id: z.string(),
  inForce: z.object({everywhere: z.boolean()}),
  state: z.looseObject({kind: z.string()}),
});
const statusSchema = z.object({
  engines: z.array(z.object({engine: z.string(), weights: z.array(z.string())})),
});

/** A plan as the admin API returns it. */
export type PlanView = z.infer<typeof planSchema>;

/** Changes the configuration of a fleet through the admin API of one VM. */
export class DemoOperator {
  /**
   * @param server address of the VM that receives the requests
   * @param key API key of the operator
   */
  constructor(
    private readonly server: Address,
    private readonly key: string,
  ) {}

  /**
   * Creates a plan for an intent.
   *
   * @param intent the change to make
   */
  async plan(intent: Intent): Promise<PlanView> {
    return this.call('POST', '/admin/plans', JSON.stringify(intent));
  }

  /**
   * Confirms a plan.
   *
   * @param planId id of the plan
   */
  async confirm(planId: string): Promise<PlanView> {
    return this.call('POST', `/admin/plans/${planId}/confirm`, '');
  }

  /**
   * Plans and confirms an intent, and waits until the plan is in force on every VM.
   *
   * @param intent the change to make
   * @returns time from the confirmation until the plan was in force on every VM, in milliseconds
   */
  async change(intent: Intent): Promise<number> {
    const {id} = await this.plan(intent);
    const startedAt = Date.now();
    let plan = await this.confirm(id);
    while (!plan.inForce.everywhere) {
      if (Date.now() - startedAt > TIMEOUT_MS || plan.state.kind !== 'confirmed') {
        throw new Error(`the plan is not in force on every VM: ${JSON.stringify(plan)}`);
      }
      await delay(POLL_INTERVAL_MS);
      plan = await this.call('GET', `/admin/plans/${id}`, '');
    }
    return Date.now() - startedAt;
  }

  /**
   * Waits until each of the VMs reports that enough engines have loaded the weights.
   *
   * @param vms addresses of the VMs
   * @param weights name of the weights
   * @param engines required number of engines
   */
  async waitForWeights(vms: readonly Address[], weights: string, engines: number): Promise<void> {
    const deadline = Date.now() + TIMEOUT_MS;
    for (const vm of vms) {
      for (;;) {
        const {text} = await callServer({...vm, key: this.key, path: '/admin/status'});
        const status = statusSchema.parse(JSON.parse(text));
        const ready = status.engines.filter((engine) => engine.weights.includes(weights));
        if (ready.length >= engines) {
          break;
        }
        if (Date.now() > deadline) {
          throw new Error(`${ready.length} of ${engines} engines have loaded ${weights}`);
        }
        await delay(POLL_INTERVAL_MS);
      }
    }
  }

  private async call(method: string, path: string, body: string): Promise<PlanView> {
    const response = await callServer({...this.server, body, key: this.key, method, path});
    if (response.status !== 200) {
      throw new Error(`${method} ${path}: ${response.status} ${response.text}`);
    }
    return planSchema.parse(JSON.parse(response.text));
  }
}
