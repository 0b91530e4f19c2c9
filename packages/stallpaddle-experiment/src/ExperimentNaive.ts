/**
 * Naive baseline: each VM knows only its own streams, sends every request to the engine where it has the fewest, and
 * retries failures after a fixed short delay.
 */
import type {WorkClass} from 'stallpaddle-routing';

import type {ExperimentFleet, OnlineRequest} from './ExperimentFleet';

const RETRY_DELAY_MS = 10;
const BATCH_PASS_INTERVAL_MS = 25;

/** Routes requests as one VM, by the number of its own open streams per engine. */
class NaiveVm {
  private readonly open = new Map<string, number>();
  private running = 0;

  constructor(private readonly fleet: ExperimentFleet) {}

  route(req: OnlineRequest): void {
    const {workload} = this.fleet;
    const request = {
      affinity: req.affinity,
      promptTokens: workload.promptTokens,
      tokens: workload.tokens,
    };
    this.send(
      request,
      'online',
      (tokenMs) => this.fleet.noteFirstToken(req, tokenMs),
      (done) => {
        if (done) {
          req.answers++;
        } else {
          this.fleet.clock.after(RETRY_DELAY_MS, () => this.route(req));
        }
      },
    );
  }

  placeBatch(): void {
    const {engines, workload} = this.fleet;
    const share = Math.floor((engines.length * workload.engine.slots) / workload.vms);
    while (this.running < share) {
      this.running++;
      const {batchPromptTokens, batchTokens} = workload;
      const request = {affinity: 'batch', promptTokens: batchPromptTokens, tokens: batchTokens};
      this.send(
        request,
        'batch',
        () => {},
        (done) => {
          this.running--;
          if (done) {
            this.fleet.noteItem();
          }
        },
      );
    }
  }

  private send(
    request: {readonly affinity: string; readonly promptTokens: number; readonly tokens: number},
    work: WorkClass,
    onFirstToken: (tokenMs: number) => void,
    onEnd: (done: boolean) => void,
  ): void {
    const {clock, engines, workload} = this.fleet;
    const openOn = (id: string): number => this.open.get(id) ?? 0;
    const engine = engines.reduce((best, one) => (openOn(one.id) < openOn(best.id) ? one : best));
    this.open.set(engine.id, openOn(engine.id) + 1);
    clock.after(workload.zoneLatencyMs, () => {
      const end = (done: boolean): void => {
        this.open.set(engine.id, openOn(engine.id) - 1);
        onEnd(done);
      };
      const job = {
        ...request,
        onEnd: (outcome: string) => end(outcome === 'done'),
        onFirstToken,
        work,
      };
      if (engine.submit(job) === undefined) {
        end(false);
      }
    });
  }
}

/** Simulates a fleet of VMs that route with the naive policy. */
export class NaivePolicy {
  private nextVm = 0;
  private readonly vms: readonly NaiveVm[];

  /**
   * @param fleet state of the run
   */
  constructor(fleet: ExperimentFleet) {
    this.vms = Array.from({length: fleet.workload.vms}, () => new NaiveVm(fleet));
    this.vms.forEach((vm) => fleet.clock.every(BATCH_PASS_INTERVAL_MS, () => vm.placeBatch()));
  }

  /** Sends a request to the VMs in turn. */
  arrive(req: OnlineRequest): void {
    this.vms[this.nextVm++ % this.vms.length]!.route(req);
  }
}
