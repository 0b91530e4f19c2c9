/** Runs a soak: a fleet with callers under planned faults, whose history is checked at the end. */
import {delay} from 'stallpaddle';

import type {SoakProgram} from './SoakFleet';
import type {SoakShape} from './SoakPlan';
import type {PlannedFault, SoakBounds, SoakBreak, SoakEvent} from './SoakTypes';
import type {SoakWire} from './SoakWire';

import {SoakCallers} from './SoakCallers';
import {checkHistory} from './SoakChecker';
import {SoakFleet} from './SoakFleet';
import {SoakHistory} from './SoakHistory';
import {planFaults} from './SoakPlan';

/** Options of a soak. */
export interface SoakOptions {
  readonly bounds: SoakBounds;
  /** Folder of the processes' settings, data and logs. */
  readonly folder: string;
  /** Time from the first fault to the last, in milliseconds. */
  readonly forMs: number;
  readonly onProgress: (line: string) => void;
  readonly program: SoakProgram;
  readonly seed: number;
  readonly shape: SoakShape;
  readonly wire: SoakWire;
}

/** Outcome of a soak. */
export interface SoakOutcome {
  readonly breaks: readonly SoakBreak[];
  readonly events: readonly SoakEvent[];
  readonly jobs: number;
  readonly logFiles: readonly string[];
  /** Unexpected exits of processes, each with its signal or exit code. */
  readonly ownEnds: readonly string[];
  readonly requests: number;
}

/** Time before the first fault, in milliseconds. */
const WARM_UP_MS = 2_000;
/** Time to recover after the last fault, in milliseconds. */
const RECOVERY_MS = 12_000;
/** Time after the recovery in which requests must be served again, in milliseconds. */
const SERVING_MS = 3_000;
/** Longest wait for the remaining results, in milliseconds. */
const FINAL_READ_MS = 18_000;
/** Time between two progress lines, in milliseconds. */
const PROGRESS_INTERVAL_MS = 5_000;

async function injectAll(fleet: SoakFleet, plan: readonly PlannedFault[]): Promise<void> {
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  for (const {at, fault} of plan) {
    await delay(Math.max(0, startedAt + at - performance.now()));
    open.push(fleet.inject(fault));
  }
  await Promise.all(open);
}

function registerProgress(
  {onProgress}: SoakOptions,
  history: SoakHistory,
  callers: SoakCallers,
): () => void {
  const timer = setInterval(() => {
    const {jobs, requests} = callers.counts;
    const faults = history.events.filter(({kind}) => kind === 'faultBegan').length;
    onProgress(
      `${Math.round(history.now / 1_000)} s: ${faults} faults, ${requests} sent, ${jobs} jobs taken`,
    );
  }, PROGRESS_INTERVAL_MS);
  return () => clearInterval(timer);
}

/**
 * Runs a soak.
 *
 * @param options options of the soak
 */
export async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const {bounds, folder, forMs, program, seed, shape, wire} = options;
  const history = new SoakHistory();
  const fleet = new SoakFleet({folder, history, program, seed, shape, wire});
  const callers = new SoakCallers({fleet, history, seed, wire});
  const undo = [registerProgress(options, history, callers)];
  try {
    await fleet.start();
    undo.push(fleet.operator.start());
    callers.start();
    await delay(WARM_UP_MS);
    await injectAll(fleet, planFaults({forMs, seed, shape}));
    await delay(RECOVERY_MS);
    history.note({kind: 'recovered'});
    await delay(SERVING_MS);
    await callers.stop();
    await callers.readAll(FINAL_READ_MS);
    history.note({kind: 'ended'});
  } finally {
    undo.forEach((end) => end());
    await fleet.stop();
  }
  const {events} = history;
  const breaks = checkHistory(events, bounds);
  return {...callers.counts, breaks, events, logFiles: fleet.logFiles, ownEnds: fleet.ownEnds};
}
