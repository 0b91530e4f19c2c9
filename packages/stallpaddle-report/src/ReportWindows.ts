/**
 * Draws a day as a stacked column chart: requests in time, late, refused and failed per time window.
 */
import type {WindowRecord} from './ReportRecord';

import {escapeText} from './ReportSvg';

/** Width of the chart, in pixels. */
const WIDTH = 900;
/** Height of the chart, in pixels. */
const HEIGHT = 260;
/** Margin around the columns, in pixels. */
const MARGIN = 40;
/** Gap between two columns, in pixels. */
const GAP = 2;
/** Font size, in pixels. */
const FONT_SIZE = 10;
/** Y coordinate of the title and the legend, in pixels. */
const TITLE_Y = 20;
/** Distance of the labels below the columns, in pixels. */
const LABEL_OFFSET = 14;
/** Width of one legend item, in pixels. */
const LEGEND_ITEM_WIDTH = 80;
/** Decimal places of coordinates. */
const COORDINATE_DIGITS = 1;

/** Layers of a column, from bottom to top. */
const LAYERS = [
  {color: '#4a8f5d', key: 'in_aim', label: 'in time'},
  {color: '#d9a441', key: 'late', label: 'late'},
  {color: '#8d8d8d', key: 'refused', label: 'refused'},
  {color: '#b5493c', key: 'failed', label: 'failed'},
] as const;

/**
 * Draws one column: a box for each layer and the start of the window as the label.
 *
 * @param window the time window
 * @param x left edge, in pixels
 * @param width width, in pixels
 * @param heightPerRequest height of one request, in pixels
 */
function drawColumn(
  window: WindowRecord,
  x: number,
  width: number,
  heightPerRequest: number,
): string {
  let bottom = HEIGHT - MARGIN;
  const boxes = LAYERS.map(({color, key, label}) => {
    const height = window[key] * heightPerRequest;
    bottom -= height;
    const title = `${window[key]} ${label}, from ${window.name} s`;
    return `<rect x="${x}" y="${bottom.toFixed(COORDINATE_DIGITS)}" width="${width}" height="${height.toFixed(COORDINATE_DIGITS)}" fill="${color}"><title>${title}</title></rect>`;
  });
  const centre = x + width / 2;
  boxes.push(
    `<text x="${centre}" y="${HEIGHT - MARGIN + LABEL_OFFSET}" text-anchor="middle">${window.name}</text>`,
  );
  return boxes.join('');
}

/**
 * Draws a day.
 *
 * @param title title of the chart, as plain text
 * @param windows time windows of the day, in order
 * @returns an SVG document
 */
export function drawWindows(title: string, windows: readonly WindowRecord[]): string {
  const maxRequests = Math.max(1, ...windows.map(({n}) => n));
  const heightPerRequest = (HEIGHT - 2 * MARGIN) / maxRequests;
  const step = (WIDTH - 2 * MARGIN) / Math.max(1, windows.length);
  const columns = windows.map((window, at) =>
    drawColumn(window, MARGIN + at * step, Math.max(1, step - GAP), heightPerRequest),
  );
  const legend = LAYERS.map(
    ({color, label}, at) =>
      `<text x="${WIDTH - MARGIN - LEGEND_ITEM_WIDTH * (LAYERS.length - at)}" y="${TITLE_Y}" fill="${color}">${label}</text>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="${FONT_SIZE}">`,
    `<text x="${MARGIN}" y="${TITLE_Y}">${escapeText(title)}: requests by the time in seconds at which they were sent</text>`,
    ...legend,
    ...columns,
    '</svg>',
    '',
  ].join('\n');
}
