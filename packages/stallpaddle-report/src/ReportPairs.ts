/**
 * Draws a comparison as a bar chart of the change in worth of each day.
 */
import type {DayPair} from './ReportCompare';

import {escapeText} from './ReportSvg';

/** Width of the chart, in pixels. */
const WIDTH = 900;
/** X coordinate of the zero line, in pixels. */
const CENTRE = WIDTH / 2;
/** Length of the bar of a change by 0.1, in pixels. */
const PIXELS_PER_TENTH = 200;
/** Height of a row, in pixels. */
const ROW_HEIGHT = 18;
/** Height of a bar, in pixels. */
const BAR_HEIGHT = 12;
/** Space above the first row, in pixels. */
const TOP_MARGIN = 30;
/** Font size, in pixels. */
const FONT_SIZE = 11;
/** Decimal places of a worth. */
const DIGITS = 3;
const INCREASE_COLOR = '#4a8f5d';
const DECREASE_COLOR = '#b5493c';

function drawBar({after, before, name}: DayPair, at: number): string {
  const change = after - before;
  const length = Math.min(CENTRE, Math.abs(change) * 10 * PIXELS_PER_TENTH);
  const y = TOP_MARGIN + at * ROW_HEIGHT;
  const x = change < 0 ? CENTRE - length : CENTRE;
  const label = `${escapeText(name)}: ${before.toFixed(DIGITS)} to ${after.toFixed(DIGITS)}`;
  return [
    `<rect x="${x}" y="${y}" width="${length}" height="${BAR_HEIGHT}" fill="${change < 0 ? DECREASE_COLOR : INCREASE_COLOR}"/>`,
    `<text x="4" y="${y + BAR_HEIGHT - 2}">${label}</text>`,
  ].join('');
}

/**
 * Draws one bar for each day: to the right of the zero line if its worth rose, to the left if it fell.
 *
 * @param pairs worth of each day in both versions
 * @returns an SVG document
 */
export function drawPairs(pairs: readonly DayPair[]): string {
  const height = TOP_MARGIN + (pairs.length + 1) * ROW_HEIGHT;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="${FONT_SIZE}">`,
    `<text x="4" y="16">change in worth per day; 0.1 is ${PIXELS_PER_TENTH} pixels</text>`,
    `<line x1="${CENTRE}" y1="${TOP_MARGIN - 6}" x2="${CENTRE}" y2="${height}" stroke="#8d8d8d"/>`,
    ...pairs.map(drawBar),
    '</svg>',
    '',
  ].join('\n');
}
