/**
 * What one sender has seen of each engine, so that requests keep off those that fail.
 */
import type {Clock, EngineId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';

import {healthAfterAttempt, type EngineHealth, INITIAL_HEALTH} from './RelayPlacement';

/** One start of an engine: what was seen of an earlier one says nothing of it. */
export type EngineIncarnation = Pick<EngineView, 'id' | 'startedAtMs'>;

/** What was seen of one start. */
interface SeenStart {
  readonly experience: EngineHealth;
  readonly startedAtMs: number;
}

/** See the module's comment. */
export class RelayEngineHealth {
  private readonly seen = new Map<EngineId, SeenStart>();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Experience with an engine.
   *
   * @param start the engine, as it runs now
   */
  of({id, startedAtMs}: EngineIncarnation): EngineHealth {
    const seen = this.seen.get(id);
    return seen?.startedAtMs === startedAtMs ? seen.experience : INITIAL_HEALTH;
  }

  /**
   * Notes how an attempt went. What comes from an earlier start than the one seen last is passed over.
   *
   * @param start the engine, as it was when it was sent the request
   * @param ok whether the engine answered
   */
  recordAttempt(start: EngineIncarnation, ok: boolean): void {
    const {id, startedAtMs} = start;
    if (startedAtMs >= (this.seen.get(id)?.startedAtMs ?? startedAtMs)) {
      const experience = healthAfterAttempt(this.of(start), ok, this.clock.monotonicMs());
      this.seen.set(id, {experience, startedAtMs});
    }
  }
}
