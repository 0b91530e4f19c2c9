/**
 * HTML report of the experiment with a plot of batch throughput and one of first-token latency.
 */
import type {ReportedRun} from './main';

const BAR_WIDTH = 420;
const ROW_HEIGHT = 26;
const LABEL_WIDTH = 260;
const POLICY_COLOURS = {current: '#1f6f5c', naive: '#b0562c', noBatch: '#8a8f98'} as const;

interface Bar {
  readonly colour: string;
  readonly label: string;
  /** Reference value, drawn as a line. */
  readonly mark: number;
  readonly text: string;
  readonly value: number;
}

function plot(title: string, bars: readonly Bar[]): string {
  const maxValue = Math.max(...bars.flatMap(({mark, value}) => [mark, value]), 1);
  const x = (value: number): number => LABEL_WIDTH + (value / maxValue) * BAR_WIDTH;
  const rows = bars.map(({colour, label, mark, text, value}, index) => {
    const y = index * ROW_HEIGHT;
    return (
      `<text x="${LABEL_WIDTH - 8}" y="${y + 17}" text-anchor="end">${label}</text>` +
      `<rect x="${LABEL_WIDTH}" y="${y + 4}" width="${x(value) - LABEL_WIDTH}" height="18" fill="${colour}"/>` +
      `<line x1="${x(mark)}" x2="${x(mark)}" y1="${y}" y2="${y + ROW_HEIGHT}" stroke="#111" stroke-width="2"/>` +
      `<text x="${x(Math.max(value, mark)) + 8}" y="${y + 17}">${text}</text>`
    );
  });
  const height = bars.length * ROW_HEIGHT;
  const width = LABEL_WIDTH + BAR_WIDTH + 200;
  return `<h2>${title}</h2><svg width="${width}" height="${height}">${rows.join('')}</svg>`;
}

function runLabel({fault, policy, workload}: ReportedRun): string {
  return `${workload}, ${fault === 'none' ? '' : `${fault}, `}${policy}`;
}

/**
 * Renders the HTML report.
 *
 * @param seed seed of the runs
 * @param runs results to plot
 */
export function htmlReport(seed: number, runs: readonly ReportedRun[]): string {
  const batch = runs
    .filter(({policy}) => policy !== 'noBatch')
    .map((run) => ({
      colour: POLICY_COLOURS[run.policy],
      label: runLabel(run),
      mark: run.batchLimitItemsPerSecond,
      text: `${run.batchItemsPerSecond} (${((100 * run.batchItemsPerSecond) / run.batchLimitItemsPerSecond).toFixed(1)}% of the limit)`,
      value: run.batchItemsPerSecond,
    }));
  const online = runs.map((run) => ({
    colour: POLICY_COLOURS[run.policy],
    label: runLabel(run),
    mark: run.ttftP99MsWithoutBatch,
    text: `${run.ttftP99Ms} ms`,
    value: run.ttftP99Ms,
  }));
  return [
    '<!doctype html><meta charset="utf-8"><title>stallpaddle experiment</title>',
    '<style>body{font:14px system-ui;margin:2em}text{font:13px system-ui}</style>',
    `<h1>stallpaddle experiment, seed ${seed}</h1>`,
    '<p>Figures of small engine fakes on an injected clock, not of real engines.</p>',
    plot('Batch items a second; the line is the computed limit', batch),
    plot('First token, 99th percentile in ms; the line is the run without batch work', online),
    '',
  ].join('\n');
}
