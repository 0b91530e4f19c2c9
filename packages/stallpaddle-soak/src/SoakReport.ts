/**
 * Words the outcome of a soak: what was done to the fleet and which promises broke, on one timeline.
 */
import type {SoakOutcome} from './SoakRun';
import type {SoakEvent, SoakFault} from './SoakTypes';

/** Milliseconds in a second. */
const SECOND_MS = 1_000;

/**
 * One fault in words.
 *
 * @param fault the fault
 */
export function describeFault(fault: SoakFault): string {
  const {kind, ...rest} = fault;
  const details = Object.entries(rest).map(([name, value]) => `${name}=${String(value)}`);
  return [kind, ...details].join(' ');
}

function faultLine(event: SoakEvent): string | undefined {
  if (event.kind === 'faultBegan') {
    return describeFault(event.fault);
  }
  if (event.kind === 'faultEnded') {
    return `  over: ${describeFault(event.fault)}`;
  }
  return event.kind === 'recovered' ? 'the time to recover is over' : undefined;
}

/**
 * The report, a line each.
 *
 * @param seed the soak's seed
 * @param outcome what came of it
 */
export function reportSoak(seed: number, outcome: SoakOutcome): readonly string[] {
  const {breaks, events, jobs, ownEnds, requests} = outcome;
  const lines = events.flatMap((event) => {
    const text = faultLine(event);
    return text === undefined ? [] : [{at: event.at, text}];
  });
  const broken = breaks.map(({at, detail, promise}) => ({
    at,
    text: `BROKEN ${promise}: ${detail}`,
  }));
  const timeline = [...lines, ...broken]
    .sort((a, b) => a.at - b.at)
    .map(({at, text}) => `${(at / SECOND_MS).toFixed(2).padStart(8)} s  ${text}`);
  const faults = events.filter(({kind}) => kind === 'faultBegan').length;
  return [
    ...timeline,
    ...ownEnds.map((end) => `ended by itself: ${end}`),
    `seed ${seed}: ${faults} faults, ${requests} requests and jobs sent, ${jobs} jobs taken, ${breaks.length} promises broken`,
  ];
}
