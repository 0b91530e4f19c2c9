/**
 * Health of engines as one sender has observed it.
 */
import type {Clock, EngineId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {type EngineHealth, healthAfterAttempt, INITIAL_HEALTH} from './RelayPlacement';

/** One lifetime of an engine process; failures of an earlier one don't count against it. */
export type EngineIncarnation = Pick<EngineView, 'id' | 'startedAtMs'>;

/** Health observed in one incarnation. */
interface ObservedHealth {
  readonly health: EngineHealth;
  readonly startedAtMs: number;
}

/** Tracks the health of each engine by the attempts of this sender, so that it avoids engines that fail. */
export class RelayEngineHealth {
  private readonly observed = new Map<EngineId, ObservedHealth>();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Returns the health of an engine.
   *
   * @param incarnation the engine's current incarnation
   */
  of({id, startedAtMs}: EngineIncarnation): EngineHealth {
    const observed = this.observed.get(id);
    return observed?.startedAtMs === startedAtMs ? observed.health : INITIAL_HEALTH;
  }

  /**
   * Records the outcome of an attempt. Outcomes of incarnations before the latest known one are ignored.
   *
   * @param incarnation the engine's incarnation when the request was sent
   * @param ok whether the engine responded
   */
  recordAttempt(incarnation: EngineIncarnation, ok: boolean): void {
    const {id, startedAtMs} = incarnation;
    if (startedAtMs >= (this.observed.get(id)?.startedAtMs ?? startedAtMs)) {
      const health = healthAfterAttempt(this.of(incarnation), ok, this.clock.monotonicMs());
      this.observed.set(id, {health, startedAtMs});
    }
  }
}
