/**
 * Checks which start of an engine has written a response. An engine may start again under its id, with another software
 * version, before the fleet status names that start; until then, requests for the start before reach it.
 */
import type {EngineView} from 'stallpaddle-fleet';

import type {RelayWire} from './RelayWire';

import {checkStart, isNamedByStart, type StartCheck} from './RelayProbe';

/** Confirms starts of engines by asking them; requests to one engine share a probe. */
export class RelayStarts {
  /** Probes that are queued behind one on its way. */
  private readonly queued = new Map<string, Promise<StartCheck>>();
  private readonly running = new Map<string, Promise<StartCheck>>();

  /**
   * @param wire the engines' protocol
   */
  constructor(private readonly wire: RelayWire) {}

  /**
   * Checks whether an engine is still the start that the fleet status named when a request was selected for it. That start
   * had begun before; if it runs after the request's connection was established, it has answered the request.
   *
   * @param engine the engine, as it was selected
   */
  confirm(engine: EngineView): Promise<StartCheck> {
    if (isNamedByStart(engine)) {
      return Promise.resolve({kind: 'confirmed'});
    }
    const key = JSON.stringify([engine.id, engine.startedAtMs]);
    const running = this.running.get(key);
    if (running === undefined) {
      return this.start(key, engine);
    }
    // The engine may have answered the probe on its way before the caller's connection was established.
    const queued =
      this.queued.get(key) ??
      running.then(() => {
        this.queued.delete(key);
        return this.start(key, engine);
      });
    this.queued.set(key, queued);
    return queued;
  }

  private start(key: string, engine: EngineView): Promise<StartCheck> {
    const check = checkStart(this.wire, engine).finally(() => this.running.delete(key));
    this.running.set(key, check);
    return check;
  }
}
