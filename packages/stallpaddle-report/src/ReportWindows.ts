/**
 * A picture of a day for a person: for each stretch of time, how many of its requests were in time, late,
 * refused and failed.
 */
import type {WindowRecord} from './ReportRecord';

import {escapeText} from './ReportSvg';

/** Width of the picture, in pixels. */
const WIDTH = 900;
/** Height of the picture, in pixels. */
const HEIGHT = 260;
/** Space around the columns, in pixels. */
const MARGIN = 40;
/** Space between two columns, in pixels. */
const GAP = 2;
/** Size of all text, in pixels. */
const FONT_SIZE = 10;
/** Where the line of the title and the legend stands, from the top, in pixels. */
const TITLE_Y = 20;
/** How far below the columns their names stand, in pixels. */
const NAME_DROP = 14;
/** Space for one word of the legend, in pixels. */
const LEGEND_STEP = 80;
/** Digits after the point of a place or height: a tenth of a pixel. */
const PIXEL_DIGITS = 1;

/** What is drawn on top of each other, from the bottom up. */
const LAYERS = [
  {color: '#4a8f5d', key: 'in_aim', label: 'in time'},
  {color: '#d9a441', key: 'late', label: 'late'},
  {color: '#8d8d8d', key: 'refused', label: 'refused'},
  {color: '#b5493c', key: 'failed', label: 'failed'},
] as const;

/**
 * One column: a box for each layer, and the name of its stretch below.
 *
 * @param window the stretch
 * @param x left edge, in pixels
 * @param width width, in pixels
 * @param perRequest height of one request, in pixels
 */
function columnOf(window: WindowRecord, x: number, width: number, perRequest: number): string {
  let bottom = HEIGHT - MARGIN;
  const boxes = LAYERS.map(({color, key, label}) => {
    const height = window[key] * perRequest;
    bottom -= height;
    const title = `${window[key]} ${label}, from ${window.name} s`;
    return `<rect x="${x}" y="${bottom.toFixed(PIXEL_DIGITS)}" width="${width}" height="${height.toFixed(PIXEL_DIGITS)}" fill="${color}"><title>${title}</title></rect>`;
  });
  const at = x + width / 2;
  boxes.push(
    `<text x="${at}" y="${HEIGHT - MARGIN + NAME_DROP}" text-anchor="middle">${window.name}</text>`,
  );
  return boxes.join('');
}

/**
 * Draws a day.
 *
 * @param title what stands above it; plain text
 * @param windows the day's stretches, in order
 * @returns SVG
 */
export function drawWindows(title: string, windows: readonly WindowRecord[]): string {
  const most = Math.max(1, ...windows.map(({n}) => n));
  const perRequest = (HEIGHT - 2 * MARGIN) / most;
  const step = (WIDTH - 2 * MARGIN) / Math.max(1, windows.length);
  const columns = windows.map((window, at) =>
    columnOf(window, MARGIN + at * step, Math.max(1, step - GAP), perRequest),
  );
  const legend = LAYERS.map(
    ({color, label}, at) =>
      `<text x="${WIDTH - MARGIN - LEGEND_STEP * (LAYERS.length - at)}" y="${TITLE_Y}" fill="${color}">${label}</text>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="${FONT_SIZE}">`,
    `<text x="${MARGIN}" y="${TITLE_Y}">${escapeText(title)}: requests by the second in which they were sent</text>`,
    ...legend,
    ...columns,
    '</svg>',
    '',
  ].join('\n');
}
