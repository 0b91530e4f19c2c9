/**
 * `npm run report -- FILE... [--svg FOLDER]`: prints where each day of the files lost its worth; with a folder,
 * draws each day whose file holds its stretches of time.
 */
import {cac} from 'cac';
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

import {lossesOf} from './ReportLosses';
import {type DayRecord, readDays} from './ReportRecord';
import {drawWindows} from './ReportWindows';

/** Digits after the point of a share. */
const SHARE_DIGITS = 4;
/** Width of the column of names and causes, in characters. */
const NAME_WIDTH = 52;

function printDay(day: DayRecord): void {
  const {losses, name, worth} = lossesOf(day);
  console.log(`${name.padEnd(NAME_WIDTH)} worth ${worth.toFixed(SHARE_DIGITS)}`);
  for (const {cause, share} of losses) {
    console.log(`  ${cause.padEnd(NAME_WIDTH)}    -${share.toFixed(SHARE_DIGITS)}`);
  }
}

/** Draws a day whose file holds its stretches of time. */
function drawDay(day: DayRecord, file: string): void {
  if (day.windows !== undefined) {
    writeFileSync(file, drawWindows(lossesOf(day).name, day.windows));
  }
}

function run(files: readonly string[], folder: string | undefined): void {
  for (const file of files) {
    const days = readDays(readFileSync(file, 'utf8'));
    days.forEach(printDay);
    if (folder !== undefined) {
      const name = path.basename(file, '.json');
      days.forEach((day, at) => drawDay(day, path.join(folder, `${name}-${at + 1}.svg`)));
    }
  }
}

const cli = cac('report');
cli
  .command('[...files]', 'Prints where the worth of played days was lost')
  .option('--svg <folder>', 'Draws the days there')
  .action((files: readonly string[], options: {readonly svg?: string}) => run(files, options.svg));
cli.help();
cli.parse();
