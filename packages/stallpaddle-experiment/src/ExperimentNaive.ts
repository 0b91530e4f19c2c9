/**
 * The naive baseline: each VM on its own view, first come first served, retries at once.
 */
import type {WorkClass} from 'stallpaddle-routing';

import type {ExperimentFleet, OnlineRequest} from './ExperimentFleet';

const RETRY_MS = 10;
const FILL_MS = 25;

/** One VM of the baseline. */
class NaiveVm {
  private readonly open = new Map<string, number>();
  private running = 0;

  constructor(private readonly fleet: ExperimentFleet) {}

  take(req: OnlineRequest): void {
    const {workload} = this.fleet;
    const asked = {
      affinity: req.affinity,
      promptTokens: workload.promptTokens,
      tokens: workload.tokens,
    };
    this.send(
      asked,
      'online',
      (tokenMs) => this.fleet.noteFirstToken(req, tokenMs),
      (done) => {
        if (done) {
          req.answers++;
        } else {
          this.fleet.clock.after(RETRY_MS, () => this.take(req));
        }
      },
    );
  }

  fill(): void {
    const {engines, workload} = this.fleet;
    const share = Math.floor((engines.length * workload.engine.slots) / workload.vms);
    while (this.running < share) {
      this.running++;
      const {batchPromptTokens, batchTokens} = workload;
      const asked = {affinity: 'batch', promptTokens: batchPromptTokens, tokens: batchTokens};
      this.send(
        asked,
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
    asked: {readonly affinity: string; readonly promptTokens: number; readonly tokens: number},
    work: WorkClass,
    onFirstToken: (tokenMs: number) => void,
    onEnd: (done: boolean) => void,
  ): void {
    const {clock, engines, workload} = this.fleet;
    const openAt = (id: string): number => this.open.get(id) ?? 0;
    const engine = engines.reduce((best, one) => (openAt(one.id) < openAt(best.id) ? one : best));
    this.open.set(engine.id, openAt(engine.id) + 1);
    clock.after(workload.zoneLatencyMs, () => {
      const end = (done: boolean): void => {
        this.open.set(engine.id, openAt(engine.id) - 1);
        onEnd(done);
      };
      const job = {
        ...asked,
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

/** A fleet of VMs with the naive policy. */
export class NaivePolicy {
  private turn = 0;
  private readonly vms: readonly NaiveVm[];

  /**
   * @param fleet engines, clock and outcomes
   */
  constructor(fleet: ExperimentFleet) {
    this.vms = Array.from({length: fleet.workload.vms}, () => new NaiveVm(fleet));
    this.vms.forEach((vm) => fleet.clock.every(FILL_MS, () => vm.fill()));
  }

  /** A request comes in at one VM after another. */
  arrive(req: OnlineRequest): void {
    this.vms[this.turn++ % this.vms.length]!.take(req);
  }
}
