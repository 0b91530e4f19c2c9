/** Reports and comparisons of days that the benchmark played. */
export {
  type CauseChange,
  compareDays,
  type Comparison,
  type DayPair,
  type Spread,
} from './ReportCompare';
export {type DayLosses, type Loss, lossesOf} from './ReportLosses';
export {drawPairs} from './ReportPairs';
export {type DayRecord, readDays, ReportError} from './ReportRecord';
export {drawWindows} from './ReportWindows';
