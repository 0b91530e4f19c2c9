/**
 * One soak: a fleet under its plan of faults, with callers all the while, judged at its end.
 */
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

/** What a soak is. */
export interface SoakOptions {
  readonly bounds: SoakBounds;
  /** Folder of the processes' settings, disks and logs. */
  readonly folder: string;
  /** Time from the first fault to the last, in milliseconds. */
  readonly forMs: number;
  readonly onProgress: (line: string) => void;
  readonly program: SoakProgram;
  readonly seed: number;
  readonly shape: SoakShape;
  readonly words: SoakWire;
}

/** What came of a soak. */
export interface SoakOutcome {
  readonly breaks: readonly SoakBreak[];
  readonly events: readonly SoakEvent[];
  readonly jobs: number;
  readonly logFiles: readonly string[];
  /** Processes that ended by themselves, and how. */
  readonly ownEnds: readonly string[];
  readonly requests: number;
}

/** Time without faults at the begin, in milliseconds. */
const LEAD_MS = 2_000;
/** Time that the fleet has to recover after the last fault, in milliseconds. */
const RECOVER_MS = 12_000;
/** Time of requests after that, by which it is judged whether the fleet serves, in milliseconds. */
const AFTER_MS = 3_000;
/** Longest wait for the last results, in milliseconds. */
const FINISH_MS = 18_000;
/** Time between two reads of the configuration, in milliseconds. */
const READ_CONFIG_MS = 400;
/** Time between two lines of progress, in milliseconds. */
const PROGRESS_MS = 5_000;

async function inflictAll(fleet: SoakFleet, plan: readonly PlannedFault[]): Promise<void> {
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  for (const {at, fault} of plan) {
    await delay(Math.max(0, startedAt + at - performance.now()));
    open.push(fleet.inflict(fault));
  }
  await Promise.all(open);
}

/** Reads the configuration at one VM after the other. */
function registerConfigReads(fleet: SoakFleet): () => void {
  let turn = 0;
  const timer = setInterval(() => {
    const {entryNames} = fleet;
    void fleet.readConfiguration(entryNames[turn++ % entryNames.length]!);
  }, READ_CONFIG_MS);
  return () => clearInterval(timer);
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
  }, PROGRESS_MS);
  return () => clearInterval(timer);
}

/**
 * Runs a soak.
 *
 * @param options what it is
 */
export async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const {bounds, folder, forMs, program, seed, shape, words} = options;
  const history = new SoakHistory();
  const fleet = new SoakFleet({folder, history, program, seed, shape, words});
  const callers = new SoakCallers({fleet, history, seed, words});
  const undo = [registerConfigReads(fleet), registerProgress(options, history, callers)];
  try {
    await fleet.start();
    callers.start();
    await delay(LEAD_MS);
    await inflictAll(fleet, planFaults({forMs, seed, shape}));
    await delay(RECOVER_MS);
    history.note({kind: 'recovered'});
    await delay(AFTER_MS);
    await callers.stop();
    await callers.readAll(FINISH_MS);
    history.note({kind: 'ended'});
  } finally {
    undo.forEach((end) => end());
    await fleet.stop();
  }
  const {events} = history;
  const breaks = checkHistory(events, bounds);
  return {...callers.counts, breaks, events, logFiles: fleet.logFiles, ownEnds: fleet.ownEnds};
}
