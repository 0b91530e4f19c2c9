/**
 * Suspect requests, during whose runs engines ended.
 */
import type {Clock, LogFields, MonotonicMs} from 'stallpaddle';
import type {
  FleetAnswer,
  FleetCommand,
  FleetState,
  NoteEngineEnd,
  ReleaseParts,
  ReleaseRequest,
  SuspectDetails,
  SuspectPartDetails,
  TryParts,
} from 'stallpaddle-fleet';

import {
  QUARANTINE_LEVEL,
  quarantinedGroups,
  suspectDetails,
  suspectPartDetails,
} from 'stallpaddle-fleet';

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
  /** Publishes the fleet status at once: whoever has recorded a finding asks for a status that includes it. */
  readonly publish: () => void;
}

/** Suspect requests and suspect parts of prompts, as shown to an operator. */
export interface SuspectLists {
  readonly parts: readonly SuspectPartDetails[];
  readonly suspects: readonly SuspectDetails[];
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
  list(): SuspectLists {
    const {driver} = this.options.group;
    const {clockMs, suspectParts, suspects} = driver.read();
    const now = clockMs + driver.uncountedMs;
    return {
      parts: suspectPartDetails(suspectParts, suspects, now),
      suspects: [...suspects.values()].map((suspect) => suspectDetails(suspect, now)),
    };
  }

  /**
   * Records that an engine ended while it started to run a request.
   *
   * @param end the engine and the request
   */
  async noteEngineEnd(end: NoteEngineEnd): Promise<FleetAnswer> {
    const {group, log, propose, publish} = this.options;
    const answer = await propose(end);
    publish();
    const {digest, engine, known, parts = [], startedAtMs} = end;
    const {suspectParts, suspects} = group.driver.localState;
    const suspect = suspects.get(digest);
    log('An engine ended while it started to run a request.', {
      digest,
      ended: suspect?.ended.join(','),
      engine,
      held: (suspect?.level ?? 0) >= QUARANTINE_LEVEL,
      known,
      level: suspect?.level,
      parts: parts.map(({part}) => part).join(),
      partsHeld: quarantinedGroups(suspectParts, suspects)
        .map((group) => group.join('+'))
        .join(),
      partsLevels: parts.map(({part}) => suspectParts.get(part)?.level ?? 0).join(),
      startedAtMs,
    });
    return answer;
  }

  /**
   * Releases suspect parts.
   *
   * @param release the parts and who releases them
   */
  async releaseParts(release: ReleaseParts): Promise<FleetAnswer> {
    const {group, log, propose, publish} = this.options;
    const {suspectParts} = group.driver.read();
    const known = release.parts
      .flatMap((part) => suspectParts.get(part) ?? [])
      .filter(({level}) => level > 0);
    if (known.length === 0) {
      return {kind: 'applied'};
    }
    log('Parts of prompts are no longer suspects.', {
      by: release.by,
      levels: known.map(({level}) => level).join(),
      parts: known.map(({part}) => part).join(),
    });
    const answer = await propose(release);
    publish();
    return answer;
  }

  /**
   * Grants or denies a trial of quarantined parts.
   *
   * @param request the parts, and the trials that the sender knows of
   */
  async tryParts(request: TryParts): Promise<FleetAnswer> {
    const {log, propose} = this.options;
    const answer = await propose(request);
    const {parts, trials} = request;
    log('A request asked for the trial of quarantined parts.', {
      granted: answer.kind === 'applied',
      parts: parts.join(),
      trials,
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
    const {formerSoftware, suspectParts, suspects} = group.driver.localState;
    const expiring = formerSoftware.size + suspectParts.size + suspects.size;
    if (expiring > 0 && now - this.tickedAt >= TICK_MS) {
      this.tickedAt = now;
      // Without a leader the next check retries.
      propose({kind: 'tick'}).catch(() => {});
    }
  }
}
