/**
 * What one sender has seen of each engine, so that requests keep off those that fail.
 */
import type {Clock, EngineId} from 'stallpaddle';

import {afterAttempt, type EngineExperience, NO_EXPERIENCE} from './RelayPlacement';

/** See the module's comment. */
export class RelayExperience {
  private readonly seen = new Map<EngineId, EngineExperience>();

  /**
   * @param clock this process's clock
   */
  constructor(private readonly clock: Clock) {}

  /**
   * Experience with an engine.
   *
   * @param id the engine
   */
  of(id: EngineId): EngineExperience {
    return this.seen.get(id) ?? NO_EXPERIENCE;
  }

  /**
   * Notes how an attempt went.
   *
   * @param id the engine
   * @param ok whether the engine answered
   * @returns experience from now on
   */
  note(id: EngineId, ok: boolean): EngineExperience {
    const next = afterAttempt(this.of(id), ok, this.clock.monotonicMs());
    this.seen.set(id, next);
    return next;
  }

  /**
   * Forgets engines that are not in the list any more.
   *
   * @param known engines in the list
   */
  keepOnly(known: ReadonlySet<EngineId>): void {
    for (const id of this.seen.keys()) {
      if (!known.has(id)) {
        this.seen.delete(id);
      }
    }
  }
}
