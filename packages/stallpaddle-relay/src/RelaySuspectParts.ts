/**
 * Quarantine of shared parts of prompts that may crash engines, as one process applies it.
 */
import type {Clock, MonotonicMs} from 'stallpaddle';

import {
  type FleetAnswer,
  type KnownPart,
  QUARANTINE_LEVEL,
  type ReleaseParts,
  type SuspectPartView,
  type TryParts,
} from 'stallpaddle-fleet';

/** Dependencies of {@link RelaySuspectParts}. */
export interface RelaySuspectPartsOptions {
  readonly clock: Clock;
  /** Records that parts are cleared, for all processes. */
  readonly release: (release: ReleaseParts) => Promise<void>;
  /** Suspect parts of the current fleet status. */
  readonly reported: () => readonly SuspectPartView[];
  /** Asks the control group for a trial; rejects when it has no leader. */
  readonly requestTrial: (request: TryParts) => Promise<FleetAnswer>;
}

/** Parts that are quarantined together: a request is held if it has all of them. */
export interface QuarantinedGroup {
  readonly parts: readonly string[];
  /** Delay of the next trial, in milliseconds. */
  readonly trialDelayMs: number;
  /** Number of trials so far. */
  readonly trials: number;
}

/** Whether a request may run despite the suspect parts of its prompt. */
export type PartsVerdict =
  | {readonly group: QuarantinedGroup; readonly kind: 'held'; readonly retryAfterMs: number}
  | {readonly kind: 'allowed'}
  /** The request may run if the control group grants it the next trial of the group. */
  | {readonly group: QuarantinedGroup; readonly kind: 'trialDue'};

/** A quarantined group with the time of its next trial. */
interface TimedGroup extends QuarantinedGroup {
  dueAt: MonotonicMs;
}

const ALLOWED: PartsVerdict = {kind: 'allowed'};

/** Most parts of one request that become suspects, so that a caller can't fill the replicated state. */
const MAX_PARTS = 32;

/** Time for which a run with a part shows that engines can run it, in milliseconds. */
const SERVED_VALID_MS = 600_000;
/** Bounds the memory of served parts. */
const MAX_SERVED_PARTS = 4_096;

/** Time between two requests of this process for the same trial, in milliseconds. */
const TRIAL_REQUEST_INTERVAL_MS = 1_000;

function hasAll(parts: readonly string[], group: QuarantinedGroup): boolean {
  return group.parts.every((part) => parts.includes(part));
}

function groupsOf(reported: readonly SuspectPartView[]): readonly QuarantinedGroup[] {
  const groups = new Map<string, SuspectPartView[]>();
  for (const view of reported) {
    if (view.group !== null) {
      groups.set(view.group, [...(groups.get(view.group) ?? []), view]);
    }
  }
  return [...groups.values()].map((views) => ({
    parts: views.map(({part}) => part),
    trialDelayMs: Math.max(...views.map(({trialDelayMs}) => trialDelayMs)),
    trials: Math.max(...views.map(({trials}) => trials)),
  }));
}

/** Suspect parts as one process knows them. */
export class RelaySuspectParts {
  private indexed: readonly SuspectPartView[] = [];
  private groups: readonly TimedGroup[] = [];
  private levels: ReadonlyMap<string, number> = new Map();
  /** Parts whose release is being recorded. */
  private readonly releasing = new Set<string>();
  /** When an engine last ran a request of this process with a part past its start, the longest ago first. */
  private readonly servedAt = new Map<string, MonotonicMs>();

  /**
   * @param options dependencies
   */
  constructor(private readonly options: RelaySuspectPartsOptions) {}

  /** Whether there are no suspect parts. */
  get isEmpty(): boolean {
    return this.options.reported().length === 0;
  }

  /**
   * What this process knows of the shared parts of a prompt, of the first {@link MAX_PARTS}.
   *
   * @param parts the parts
   */
  describe(parts: readonly string[]): readonly KnownPart[] {
    this.index();
    const since = this.options.clock.monotonicMs() - SERVED_VALID_MS;
    return parts.slice(0, MAX_PARTS).map((part) => ({
      known: this.levels.get(part) ?? 0,
      part,
      served: (this.servedAt.get(part) ?? -Infinity) > since,
    }));
  }

  /**
   * Whether a request may run.
   *
   * @param parts the shared parts of its prompt
   */
  verdictOn(parts: readonly string[]): PartsVerdict {
    if (parts.length === 0 || this.isEmpty) {
      return ALLOWED;
    }
    this.index();
    const held = this.groups.find((group) => hasAll(parts, group));
    if (held === undefined) {
      return ALLOWED;
    }
    const dueAt = held.dueAt + (this.hasOtherSuspect(parts, held) ? held.trialDelayMs : 0);
    const now = this.options.clock.monotonicMs();
    return now >= dueAt
      ? {group: held, kind: 'trialDue'}
      : {group: held, kind: 'held', retryAfterMs: dueAt - now};
  }

  /** Whether a request has further suspects, so that a crash in its trial says little about the group: others go first. */
  private hasOtherSuspect(parts: readonly string[], group: QuarantinedGroup): boolean {
    return parts.some(
      (part) => !group.parts.includes(part) && (this.levels.get(part) ?? 0) >= QUARANTINE_LEVEL,
    );
  }

  /**
   * Asks for the next trial of a group. Of all requests of the fleet, one gets it.
   *
   * @param group the group
   * @returns whether it was granted
   */
  async requestTrial({
    parts,
    trials,
  }: Pick<QuarantinedGroup, 'parts' | 'trials'>): Promise<boolean> {
    const {clock, requestTrial} = this.options;
    const group = this.groups.find((other) => other.parts.join() === parts.join());
    if (group === undefined || clock.monotonicMs() < group.dueAt) {
      return false;
    }
    group.dueAt = clock.monotonicMs() + TRIAL_REQUEST_INTERVAL_MS;
    try {
      const answer = await requestTrial({kind: 'tryParts', parts, trials});
      return answer.kind === 'applied';
    } catch {
      // Without a leader nobody can tell whether another VM runs the trial.
      return false;
    }
  }

  /**
   * Records that an engine has run a request past its start, which clears the suspects among its parts.
   *
   * @param parts the shared parts of its prompt
   */
  noteServed(parts: readonly string[]): void {
    this.remember(parts);
    if (this.isEmpty) {
      return;
    }
    this.index();
    const cleared = parts.filter((part) => this.levels.has(part) && !this.releasing.has(part));
    if (cleared.length > 0) {
      cleared.forEach((part) => this.releasing.add(part));
      void this.options.release({by: 'engine', kind: 'releaseParts', parts: cleared}).then(() => {
        cleared.forEach((part) => this.releasing.delete(part));
      });
    }
  }

  private remember(parts: readonly string[]): void {
    const now = this.options.clock.monotonicMs();
    for (const part of parts) {
      // Deleting first moves the part to the end of the insertion order.
      this.servedAt.delete(part);
      this.servedAt.set(part, now);
    }
    for (const part of this.servedAt.keys()) {
      if (this.servedAt.size <= MAX_SERVED_PARTS) {
        return;
      }
      this.servedAt.delete(part);
    }
  }

  /** Indexes the reported suspects when they have changed. */
  private index(): void {
    const reported = this.options.reported();
    if (reported === this.indexed) {
      return;
    }
    this.indexed = reported;
    this.levels = new Map(reported.map(({level, part}) => [part, level]));
    const now = this.options.clock.monotonicMs();
    this.groups = groupsOf(reported).map((group) => {
      const known = this.groups.find(
        ({parts, trialDelayMs, trials}) =>
          parts.join() === group.parts.join() &&
          trialDelayMs === group.trialDelayMs &&
          trials === group.trials,
      );
      return {...group, dueAt: known?.dueAt ?? now + group.trialDelayMs};
    });
  }
}
