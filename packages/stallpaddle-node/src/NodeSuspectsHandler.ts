/**
 * Requests during whose runs engines ended, as the control group's leader records and lists them.
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

/** Time between ticks of the group's clock while it has suspects, in milliseconds: a sixth of the shortest time that it measures. */
const TICK_MS = 10_000;

/** What it needs of its process. */
export interface NodeSuspectsHandlerOptions {
  readonly clock: Clock;
  /** The control group's replica here. */
  readonly group: Pick<NodeGroup<FleetState>, 'driver'>;
  readonly log: (message: string, fields: LogFields) => void;
  readonly propose: (command: FleetCommand) => Promise<FleetAnswer>;
}

/** See the module's comment. */
export class NodeSuspectsHandler {
  private tickedAt: MonotonicMs = -Infinity;

  /**
   * @param options what it needs of its process
   */
  constructor(private readonly options: NodeSuspectsHandlerOptions) {}

  /**
   * All suspects, for an operator.
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
   * Records that an engine ended while it began to run a request.
   *
   * @param end the end
   */
  async noteEngineEnd(end: NoteEngineEnd): Promise<FleetAnswer> {
    const {group, log, propose} = this.options;
    const answer = await propose(end);
    const {digest, engine, known, startedAtMs} = end;
    const suspect = group.driver.localState.suspects.get(digest);
    log('An engine ended while it began to run a request.', {
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
   * Lets a suspect go.
   *
   * @param release the request, and who speaks for it
   */
  async release(release: ReleaseRequest): Promise<FleetAnswer> {
    const {group, log, propose} = this.options;
    const suspect = group.driver.read().suspects.get(release.digest);
    if (suspect === undefined) {
      return {kind: 'applied'};
    }
    const {digest, level} = suspect;
    log('A request is a suspect no more.', {by: release.by, digest, level});
    return propose(release);
  }

  /** Suspects are let go by the group's clock, which runs with commands only. */
  tickIfDue(): void {
    const {clock, group, propose} = this.options;
    const now = clock.monotonicMs();
    if (group.driver.localState.suspects.size > 0 && now - this.tickedAt >= TICK_MS) {
      this.tickedAt = now;
      // Without a leader the next look tries again.
      propose({kind: 'tick'}).catch(() => {});
    }
  }
}
