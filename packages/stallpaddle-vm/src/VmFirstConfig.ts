/** First configuration of a new fleet, from the settings. */
import type {ConfigChange} from 'stallpaddle-control';
import type {VmSettings} from 'stallpaddle-settings';

import {applyChanges, configToChanges, EMPTY_CONFIG} from 'stallpaddle-control';

/**
 * Returns the changes that build the first configuration.
 *
 * @param settings validated settings
 */
export function firstChanges({firstConfiguration}: VmSettings): readonly ConfigChange[] {
  const {customers, engines, services} = firstConfiguration;
  const changes: readonly ConfigChange[] = [
    ...Object.entries(customers).map(([key, record]): ConfigChange => ({
      key,
      record,
      table: 'customers',
    })),
    ...Object.entries(engines).map(([key, record]): ConfigChange => ({
      key,
      record,
      table: 'engines',
    })),
    ...Object.entries(services).map(([key, record]): ConfigChange => ({
      key,
      record,
      table: 'services',
    })),
  ];
  return configToChanges(applyChanges(EMPTY_CONFIG, changes));
}
