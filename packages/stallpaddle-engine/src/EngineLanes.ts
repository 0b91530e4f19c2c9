/**
 * Concurrency limits and priorities of the requests to backend servers.
 */
import type {EngineId} from 'stallpaddle';
import type {WorkClass} from 'stallpaddle-routing';

import PQueue from 'p-queue';

const PRIORITIES: Readonly<Record<WorkClass, number>> = {batch: 0, online: 1};

/**
 * Limits the concurrent requests of this VM to each engine. Each engine has a lane, a queue that is created on first
 * use and starts online requests before batch requests.
 */
export class EngineLanes {
  private readonly lanes = new Map<EngineId, PQueue>();

  /**
   * Runs a task once the lane of the engine has capacity.
   *
   * @param engine the engine
   * @param concurrency maximum number of concurrent tasks in this lane
   * @param work work class; online tasks start first
   * @param task the task
   */
  run<Result>(
    engine: EngineId,
    concurrency: number,
    work: WorkClass,
    task: () => Promise<Result>,
  ): Promise<Result> {
    const lane = this.getOrCreateLane(engine, concurrency);
    return lane.add(task, {priority: PRIORITIES[work]});
  }

  private getOrCreateLane(engine: EngineId, concurrency: number): PQueue {
    const existing = this.lanes.get(engine);
    if (existing !== undefined) {
      existing.concurrency = concurrency;
      return existing;
    }
    const lane = new PQueue({concurrency});
    this.lanes.set(engine, lane);
    return lane;
  }
}
