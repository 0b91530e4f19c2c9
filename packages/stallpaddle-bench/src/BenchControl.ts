/**
 * What the control group's state costs a replica, by customers, engines and jobs.
 */
import type {ConfigChange} from 'stallpaddle-control';

import {
  applyChanges,
  controlMachine,
  EMPTY_CONFIG,
  INITIAL_CONTROL_STATE,
} from 'stallpaddle-control';

/** Cost of a number of records. */
export interface ControlCost {
  readonly heapBytesPerRecord: number;
  readonly records: number;
  readonly snapshotBytesPerRecord: number;
  readonly table: 'customers' | 'engines';
}

function changeOf(table: ControlCost['table'], index: number): ConfigChange {
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
 * Measures a table of the configuration.
 *
 * @param table which one
 * @param records number of records
 */
export function measureControl(table: ControlCost['table'], records: number): ControlCost {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const changes = Array.from({length: records}, (_, index) => changeOf(table, index));
  const config = applyChanges(EMPTY_CONFIG, changes);
  changes.length = 0;
  globalThis.gc?.();
  const heap = process.memoryUsage().heapUsed - before;
  const snapshot = controlMachine.encode({...INITIAL_CONTROL_STATE, config});
  return {
    heapBytesPerRecord: Math.round(heap / records),
    records,
    snapshotBytesPerRecord: Math.round(snapshot.length / records),
    table,
  };
}
