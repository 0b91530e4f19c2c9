/**
 * `npm run report -- FILE... [--svg FOLDER]` prints where each day of the files lost its worth; with a folder, it
 * draws each day whose file holds its stretches of time. `npm run report -- compare BEFORE AFTER [--svg FILE]`
 * compares the days of two files, or of all files in two folders. Exit code 1 for files that can't be read.
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

/** Digits after the point of a share. */
const SHARE_DIGITS = 4;
/** Width of the column of names and causes, in characters. */
const NAME_WIDTH = 52;
/** Changes below this share are not shown: they are within the rounding of what was written. */
const SHOWN_FROM = 0.0005;

/** A day's report names no day: its file's name stands for it. */
function daysOf(file: string): readonly DayRecord[] {
  const name = path.basename(file, '.json');
  return readDays(readFileSync(file, 'utf8')).map((day) => ({...day, name: day.name ?? name}));
}

function filesOf(place: string): readonly string[] {
  if (!statSync(place).isDirectory()) {
    return [place];
  }
  const names = readdirSync(place).filter((name) => name.endsWith('.json'));
  return names.sort().map((name) => path.join(place, name));
}

function printDay(day: DayRecord): void {
  const {losses, name, worth} = lossesOf(day);
  console.log(`${name.padEnd(NAME_WIDTH)} worth ${worth.toFixed(SHARE_DIGITS)}`);
  for (const {cause, share} of losses) {
    console.log(`  ${cause.padEnd(NAME_WIDTH)}    -${share.toFixed(SHARE_DIGITS)}`);
  }
}

/** Draws a day whose file holds its stretches of time. */
function drawDay(day: DayRecord, file: string): void {
  const windows = day.windows ?? [];
  if (windows.length > 0) {
    writeFileSync(file, drawWindows(lossesOf(day).name, windows));
  }
}

function report(files: readonly string[], folder: string | undefined): void {
  for (const file of files) {
    const days = daysOf(file);
    days.forEach(printDay);
    if (folder !== undefined) {
      const name = path.basename(file, '.json');
      days.forEach((day, at) => drawDay(day, path.join(folder, `${name}-${at + 1}.svg`)));
    }
  }
}

function spreadText({mean, spread}: Spread): string {
  const sign = mean < 0 ? '' : '+';
  return `${sign}${mean.toFixed(SHARE_DIGITS)} (deviation ${spread.toFixed(SHARE_DIGITS)})`;
}

function compare(before: string, after: string, svg: string | undefined): void {
  const {causes, pairs, worth} = compareDays(
    filesOf(before).flatMap(daysOf),
    filesOf(after).flatMap(daysOf),
  );
  for (const pair of pairs) {
    const [was, is] = [pair.before.toFixed(SHARE_DIGITS), pair.after.toFixed(SHARE_DIGITS)];
    console.log(`${pair.name.padEnd(NAME_WIDTH)} ${was} to ${is}`);
  }
  console.log(`${`worth of ${pairs.length} days`.padEnd(NAME_WIDTH)} ${spreadText(worth)}`);
  for (const {cause, change} of causes) {
    if (Math.abs(change.mean) >= SHOWN_FROM) {
      console.log(`  ${cause.padEnd(NAME_WIDTH)} ${spreadText(change)}`);
    }
  }
  if (svg !== undefined) {
    writeFileSync(svg, drawPairs(pairs));
  }
}

/** Bad input is one line, not a stack trace. */
function orComplain(work: () => void): void {
  try {
    work();
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
  .command('compare <before> <after>', 'Compares the days of two files or folders')
  .option('--svg <file>', 'Draws the comparison there')
  .action((before: string, after: string, {svg}: Options) =>
    orComplain(() => compare(before, after, svg)),
  );
cli
  .command('[...files]', 'Prints where the worth of played days was lost')
  .option('--svg <folder>', 'Draws the days there')
  .action((files: readonly string[], {svg}: Options) => orComplain(() => report(files, svg)));
cli.help();
cli.parse();
