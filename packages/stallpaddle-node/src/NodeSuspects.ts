/**
 * The requests during whose runs engines ended, as a process knows them by its place in the fleet.
 */
import {RelaySuspects, type RelaySuspectsOptions} from 'stallpaddle-relay';

import type {NodeFleet} from './NodeFleet';

import {SUSPECT_CALL_TIMEOUT_MS} from './NodeConstants';

/** What it needs of its process. */
export interface NodeSuspectsOptions extends Omit<
  RelaySuspectsOptions,
  'engines' | 'record' | 'reported'
> {
  readonly fleet: Pick<NodeFleet, 'control' | 'watch'>;
}

/**
 * Makes it.
 *
 * @param options what it needs of its process
 */
export function makeSuspects({fleet, ...options}: NodeSuspectsOptions): RelaySuspects {
  return new RelaySuspects({
    ...options,
    engines: () => fleet.watch.view.news.engines,
    record: (value) => fleet.control.call({changes: true, totalMs: SUSPECT_CALL_TIMEOUT_MS, value}),
    reported: () => fleet.watch.view.news.suspects,
  });
}
