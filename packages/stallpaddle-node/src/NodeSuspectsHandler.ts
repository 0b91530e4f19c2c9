/**
 * Suspect requests, during whose runs engines ended.
 */
import type {Clock, LogFields, MonotonicMs} from 'stallpaddle';
import type {
  FleetAnswer,
  FleetCommand,
  FleetState,
  NoteEngineEnd,
  ReleaseRequest,
  SuspectDetails,
} from 'stallpaddle-fleet';

import {QUARANTINE_LEVEL, suspectDetails} from 'stallpaddle-fleet';

import type {NodeGroup} from './NodeGroup';

/** Time between ticks of the group's clock while something expires by it, in milliseconds. */
const TICK_MS = 10_000;

/** Dependencies of {@link NodeSuspectsHandler}. */
export interface NodeSuspectsHandlerOptions {
  readonly clock: Clock;
  /** This process's replica of the control group. */
  readonly group: Pick<NodeGroup<FleetState>, 'driver'>;
  readonly log: (message: string, fields: LogFields) => void;
  readonly propose: (command: FleetCommand) => Promise<FleetAnswer>;
}

/** Records, lists and releases suspect requests while this process leads the control group. */
export class NodeSuspectsHandler {
  private tickedAt: MonotonicMs = -Infinity;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeSuspectsHandlerOptions) {}

  /**
   * Lists all suspects for the operator.
   *
   * @throws {NotLeaderError} without leadership or lease
   */
  list(): readonly SuspectDetails[] {
    const {driver} = this.options.group;
    const {clockMs, suspects} = driver.read();
    const now = clockMs + driver.uncountedMs;
    return [...suspects.values()].map((suspect) => suspectDetails(suspect, now));
  }

  /**
   * Records that an engine ended while it started to run a request.
   *
   * @param end the engine and the request
   */
  async noteEngineEnd(end: NoteEngineEnd): Promise<FleetAnswer> {
    const {group, log, propose} = this.options;
    const answer = await propose(end);
    const {digest, engine, known, startedAtMs} = end;
    const suspect = group.driver.localState.suspects.get(digest);
    log('An engine ended while it started to run a request.', {
      digest,
      ended: suspect?.ended.join(','),
      engine,
      held: (suspect?.level ?? 0) >= QUARANTINE_LEVEL,
      known,
      level: suspect?.level,
      startedAtMs,
    });
    return answer;
  }

  /**
   * Releases a suspect.
   *
   * @param release the request and who releases it
   */
  async release(release: ReleaseRequest): Promise<FleetAnswer> {
    const {group, log, propose} = this.options;
    const suspect = group.driver.read().suspects.get(release.digest);
    if (suspect === undefined) {
      return {kind: 'applied'};
    }
    const {digest, level} = suspect;
    log('A request is no longer a suspect.', {by: release.by, digest, level});
    return propose(release);
  }

  /** Advances the group's clock, which only advances with commands: quarantines and former software expire by it. */
  tickIfDue(): void {
    const {clock, group, propose} = this.options;
    const now = clock.monotonicMs();
    const {formerSoftware, suspects} = group.driver.localState;
    if (formerSoftware.size + suspects.size > 0 && now - this.tickedAt >= TICK_MS) {
      this.tickedAt = now;
      // Without a leader the next check retries.
      propose({kind: 'tick'}).catch(() => {});
    }
  }
}
