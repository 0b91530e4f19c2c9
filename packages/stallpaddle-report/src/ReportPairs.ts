/**
 * A picture of a comparison: one bar for each day, to the right where its worth rose, to the left where it fell.
 */
import type {DayPair} from './ReportCompare';

import {escapeText} from './ReportSvg';

/** Width of the picture, in pixels. */
const WIDTH = 900;
/** Where a bar without a change stands, in pixels. */
const CENTRE = WIDTH / 2;
/** Length of a bar for a worth that changes by 0.1, in pixels. */
const TENTH = 200;
/** Height of a line, in pixels. */
const LINE = 18;
/** Height of a bar, in pixels. */
const BAR = 12;
/** Space above the first line, in pixels. */
const TOP = 30;
/** Size of all text, in pixels. */
const FONT_SIZE = 11;
/** Digits after the point of a worth. */
const DIGITS = 3;
const RISEN = '#4a8f5d';
const FALLEN = '#b5493c';

function barOf({after, before, name}: DayPair, at: number): string {
  const change = after - before;
  const length = Math.min(CENTRE, Math.abs(change) * 10 * TENTH);
  const y = TOP + at * LINE;
  const x = change < 0 ? CENTRE - length : CENTRE;
  const label = `${escapeText(name)}: ${before.toFixed(DIGITS)} to ${after.toFixed(DIGITS)}`;
  return [
    `<rect x="${x}" y="${y}" width="${length}" height="${BAR}" fill="${change < 0 ? FALLEN : RISEN}"/>`,
    `<text x="4" y="${y + BAR - 2}">${label}</text>`,
  ].join('');
}

/**
 * Draws a comparison.
 *
 * @param pairs days with their worth on both sides
 * @returns SVG
 */
export function drawPairs(pairs: readonly DayPair[]): string {
  const height = TOP + (pairs.length + 1) * LINE;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="${FONT_SIZE}">`,
    `<text x="4" y="16">change of a day's worth; a tenth is ${TENTH} pixels</text>`,
    `<line x1="${CENTRE}" y1="${TOP - 6}" x2="${CENTRE}" y2="${height}" stroke="#8d8d8d"/>`,
    ...pairs.map(barOf),
    '</svg>',
    '',
  ].join('\n');
}
