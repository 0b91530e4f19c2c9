/**
 * Measures the memory and snapshot size of configuration records in the control group's state.
 */
import type {ConfigChange} from 'stallpaddle-control';

import {
  applyChanges,
  controlMachine,
  EMPTY_CONFIG,
  INITIAL_CONTROL_STATE,
} from 'stallpaddle-control';

/** Average size of the records of one configuration table. */
export interface ControlCost {
  readonly heapBytesPerRecord: number;
  readonly records: number;
  readonly snapshotBytesPerRecord: number;
  readonly table: 'customers' | 'engines';
}

function createChange(table: ControlCost['table'], index: number): ConfigChange {
  const key = `${table}-${index}`;
  return table === 'customers'
    ? {
        key,
        record: {keyHash: index.toString(16).padStart(64, '0'), requestsPerSecond: null, weight: 1},
        table,
      }
    : {
        key,
        record: {
          checksFencing: true,
          host: `10.0.0.${index}`,
          port: 1,
          role: 'all',
          slots: 8,
          zone: 'z',
        },
        table,
      };
}

/**
 * Fills one configuration table and returns the heap and snapshot bytes per record.
 *
 * @param table table to fill
 * @param records number of records to add
 */
export function measureControl(table: ControlCost['table'], records: number): ControlCost {
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const changes = Array.from({length: records}, (_, index) => createChange(table, index));
  const config = applyChanges(EMPTY_CONFIG, changes);
  changes.length = 0;
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heapBefore;
  const snapshot = controlMachine.encode({...INITIAL_CONTROL_STATE, config});
  return {
    heapBytesPerRecord: Math.round(heapBytes / records),
    records,
    snapshotBytesPerRecord: Math.round(snapshot.length / records),
    table,
  };
}
