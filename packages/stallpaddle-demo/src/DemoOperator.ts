/**
 * An operator that states intents and confirms the plans.
 */
import type {Intent} from 'stallpaddle-control';

import {delay} from 'stallpaddle';
import {callServer} from 'stallpaddle-load';
import {z} from 'zod';

interface Address {
  readonly host: string;
  readonly port: number;
}

const LOOK_MS = 50;
const MOST_MS = 15_000;

const planSchema = z.looseObject({
  id: z.string(),
  inForce: z.object({everywhere: z.boolean()}),
  state: z.looseObject({kind: z.string()}),
});
const statusSchema = z.object({
  engines: z.array(z.object({engine: z.string(), weights: z.array(z.string())})),
});

/** A plan as the admin API shows it. */
export type PlanView = z.infer<typeof planSchema>;

/** One operator. */
export class DemoOperator {
  /**
   * @param server VM to ask
   * @param key the operator's key
   */
  constructor(
    private readonly server: Address,
    private readonly key: string,
  ) {}

  /**
   * Plans an intent.
   *
   * @param intent what is wanted
   */
  async plan(intent: Intent): Promise<PlanView> {
    return this.call('POST', '/admin/plans', JSON.stringify(intent));
  }

  /**
   * Confirms a plan.
   *
   * @param planId the plan
   */
  async confirm(planId: string): Promise<PlanView> {
    return this.call('POST', `/admin/plans/${planId}/confirm`, '');
  }

  /**
   * Plans, confirms and waits until it is in force on every VM.
   *
   * @param intent what is wanted
   * @returns milliseconds from the confirm until it was in force everywhere
   */
  async change(intent: Intent): Promise<number> {
    const {id} = await this.plan(intent);
    const startedAt = Date.now();
    let plan = await this.confirm(id);
    while (!plan.inForce.everywhere) {
      if (Date.now() - startedAt > MOST_MS || plan.state.kind !== 'confirmed') {
        throw new Error(`the plan is not in force: ${JSON.stringify(plan)}`);
      }
      await delay(LOOK_MS);
      plan = await this.call('GET', `/admin/plans/${id}`, '');
    }
    return Date.now() - startedAt;
  }

  /**
   * Waits until VMs know that engines have loaded weights.
   *
   * @param vms VMs to ask
   * @param weights the weights
   * @param engines number of engines
   */
  async waitForWeights(vms: readonly Address[], weights: string, engines: number): Promise<void> {
    const until = Date.now() + MOST_MS;
    for (const vm of vms) {
      for (;;) {
        const {text} = await callServer({...vm, key: this.key, path: '/admin/status'});
        const status = statusSchema.parse(JSON.parse(text));
        const ready = status.engines.filter((engine) => engine.weights.includes(weights));
        if (ready.length >= engines) {
          break;
        }
        if (Date.now() > until) {
          throw new Error(`${ready.length} of ${engines} engines hold ${weights}`);
        }
        await delay(LOOK_MS);
      }
    }
  }

  private async call(method: string, path: string, body: string): Promise<PlanView> {
    const answer = await callServer({...this.server, body, key: this.key, method, path});
    if (answer.status !== 200) {
      throw new Error(`${method} ${path}: ${answer.status} ${answer.text}`);
    }
    return planSchema.parse(JSON.parse(answer.text));
  }
}
