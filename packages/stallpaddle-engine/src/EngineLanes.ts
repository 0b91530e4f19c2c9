/**
 * A lane to each backend server: bounds what this VM has open there and lets online work go first.
 */
import type {EngineId} from 'stallpaddle';
import type {WorkClass} from 'stallpaddle-routing';

import PQueue from 'p-queue';

const PRIORITIES: Readonly<Record<WorkClass, number>> = {batch: 0, online: 1};

/** Lanes by engine, made when first used. */
export class EngineLanes {
  private readonly lanes = new Map<EngineId, PQueue>();

  /**
   * Runs a task in an engine's lane.
   *
   * @param engine the engine
   * @param width most tasks at once in this lane
   * @param work kind of work; online goes first
   * @param task what to do once there is room
   */
  run<Result>(
    engine: EngineId,
    width: number,
    work: WorkClass,
    task: () => Promise<Result>,
  ): Promise<Result> {
    const lane = this.laneOf(engine, width);
    return lane.add(task, {priority: PRIORITIES[work]});
  }

  private laneOf(engine: EngineId, width: number): PQueue {
    const known = this.lanes.get(engine);
    if (known !== undefined) {
      known.concurrency = width;
      return known;
    }
    const lane = new PQueue({concurrency: width});
    this.lanes.set(engine, lane);
    return lane;
  }
}
