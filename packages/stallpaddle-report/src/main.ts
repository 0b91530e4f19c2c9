/**
 * `npm run report -- FILE... [--svg FOLDER]` prints the worth and losses of each day in the files and, with a folder,
 * draws the days that have time windows. `npm run report -- compare BEFORE AFTER [--svg FILE]` compares the days of two
 * files, or of all files in two folders. The exit code is 1 if a file can't be read.
 */
import {cac} from 'cac';
import {readdirSync, readFileSync, statSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {errorMessage} from 'stallpaddle';

import {compareDays, type Spread} from './ReportCompare';
import {lossesOf} from './ReportLosses';
import {drawPairs} from './ReportPairs';
import {type DayRecord, readDays} from './ReportRecord';
import {drawWindows} from './ReportWindows';

/** Decimal places of a share. */
const SHARE_DIGITS = 4;
/** Width of the column with names and causes, in characters. */
const NAME_WIDTH = 52;
/** Minimum share of a listed change; smaller ones may be rounding errors of the input. */
const MIN_LISTED_SHARE = 0.0005;

/** Reads the days of a file. A day without a name is named after the file. */
function readDayFile(file: string): readonly DayRecord[] {
  const name = path.basename(file, '.json');
  return readDays(readFileSync(file, 'utf8')).map((day) => ({...day, name: day.name ?? name}));
}

function listFiles(fileOrFolder: string): readonly string[] {
  if (!statSync(fileOrFolder).isDirectory()) {
    return [fileOrFolder];
  }
  const names = readdirSync(fileOrFolder).filter((name) => name.endsWith('.json'));
  return names.sort().map((name) => path.join(fileOrFolder, name));
}

function printDay(day: DayRecord): void {
  const {losses, name, worth} = lossesOf(day);
  console.log(`${name.padEnd(NAME_WIDTH)} worth ${worth.toFixed(SHARE_DIGITS)}`);
  for (const {cause, share} of losses) {
    console.log(`  ${cause.padEnd(NAME_WIDTH)}    -${share.toFixed(SHARE_DIGITS)}`);
  }
}

/** Draws a day, if its record has time windows. */
function drawDay(day: DayRecord, file: string): void {
  const windows = day.windows ?? [];
  if (windows.length > 0) {
    writeFileSync(file, drawWindows(lossesOf(day).name, windows));
  }
}

function report(files: readonly string[], folder: string | undefined): void {
  for (const file of files) {
    const days = readDayFile(file);
    days.forEach(printDay);
    if (folder !== undefined) {
      const name = path.basename(file, '.json');
      days.forEach((day, at) => drawDay(day, path.join(folder, `${name}-${at + 1}.svg`)));
    }
  }
}

function formatSpread({mean, spread}: Spread): string {
  const sign = mean < 0 ? '' : '+';
  return `${sign}${mean.toFixed(SHARE_DIGITS)} (deviation ${spread.toFixed(SHARE_DIGITS)})`;
}

function compare(before: string, after: string, svg: string | undefined): void {
  const {causes, pairs, worth} = compareDays(
    listFiles(before).flatMap(readDayFile),
    listFiles(after).flatMap(readDayFile),
  );
  for (const pair of pairs) {
    const [worthBefore, worthAfter] = [
      pair.before.toFixed(SHARE_DIGITS),
      pair.after.toFixed(SHARE_DIGITS),
    ];
    console.log(`${pair.name.padEnd(NAME_WIDTH)} ${worthBefore} to ${worthAfter}`);
  }
  console.log(`${`worth of ${pairs.length} days`.padEnd(NAME_WIDTH)} ${formatSpread(worth)}`);
  for (const {cause, change} of causes) {
    if (Math.abs(change.mean) >= MIN_LISTED_SHARE) {
      console.log(`  ${cause.padEnd(NAME_WIDTH)} ${formatSpread(change)}`);
    }
  }
  if (svg !== undefined) {
    writeFileSync(svg, drawPairs(pairs));
  }
}

/** Reports an error in one line, without a stack trace. */
function runOrReportError(action: () => void): void {
  try {
    action();
  } catch (err) {
    console.error(`report: ${errorMessage(err)}`);
    process.exitCode = 1;
  }
}

interface Options {
  readonly svg?: string;
}

const cli = cac('report');
cli
  .command('compare <before> <after>', 'Compare the days of two files or folders')
  .option('--svg <file>', 'Write the comparison as SVG to this file')
  .action((before: string, after: string, {svg}: Options) =>
    runOrReportError(() => compare(before, after, svg)),
  );
cli
  .command('[...files]', 'Print the worth and losses of played days')
  .option('--svg <folder>', 'Write the days as SVG to this folder')
  .action((files: readonly string[], {svg}: Options) => runOrReportError(() => report(files, svg)));
cli.help();
cli.parse();
