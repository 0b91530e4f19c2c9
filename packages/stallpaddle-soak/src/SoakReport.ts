/** Formats the outcome of a soak: faults and violations on one timeline, and a summary. */
import type {SoakOutcome} from './SoakRun';
import type {SoakEvent, SoakFault} from './SoakTypes';

const MS_PER_SECOND = 1_000;

/**
 * Formats a fault as a line of text.
 *
 * @param fault fault to describe
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
 * Returns the lines of the report.
 *
 * @param seed seed of the soak
 * @param outcome outcome of the soak
 */
export function reportSoak(seed: number, outcome: SoakOutcome): readonly string[] {
  const {breaks, events, jobs, ownEnds, requests} = outcome;
  const lines = events.flatMap((event) => {
    const text = faultLine(event);
    return text === undefined ? [] : [{at: event.at, text}];
  });
  const violations = breaks.map(({at, detail, promise}) => ({
    at,
    text: `BROKEN ${promise}: ${detail}`,
  }));
  const timeline = [...lines, ...violations]
    .sort((a, b) => a.at - b.at)
    .map(({at, text}) => `${(at / MS_PER_SECOND).toFixed(2).padStart(8)} s  ${text}`);
  const faults = events.filter(({kind}) => kind === 'faultBegan').length;
  return [
    ...timeline,
    ...ownEnds.map((end) => `ended by itself: ${end}`),
    `seed ${seed}: ${faults} faults, ${requests} requests and jobs sent, ${jobs} jobs taken, ${breaks.length} promises broken`,
  ];
}
