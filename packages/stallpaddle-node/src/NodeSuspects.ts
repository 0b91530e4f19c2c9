/**
 * Connects the suspect requests of a relay to the fleet.
 */
import {RelaySuspects, type RelaySuspectsOptions} from 'stallpaddle-relay';

import type {NodeFleet} from './NodeFleet';

import {SUSPECT_CALL_TIMEOUT_MS, TRIAL_CALL_TIMEOUT_MS} from './NodeConstants';

/** Dependencies of {@link makeSuspects}. */
export interface NodeSuspectsOptions extends Omit<
  RelaySuspectsOptions,
  'engines' | 'record' | 'refresh' | 'reported' | 'reportedParts' | 'requestTrial'
> {
  readonly fleet: Pick<NodeFleet, 'control' | 'watch'>;
}

/**
 * Creates suspects that read the fleet status and are recorded by the control group's leader.
 *
 * @param options the dependencies
 */
export function makeSuspects({fleet, ...options}: NodeSuspectsOptions): RelaySuspects {
  return new RelaySuspects({
    ...options,
    engines: () => fleet.watch.view.news.engines,
    record: (value) => fleet.control.call({changes: true, totalMs: SUSPECT_CALL_TIMEOUT_MS, value}),
    refresh: () => fleet.watch.confirm(),
    reported: () => fleet.watch.view.news.suspects,
    reportedParts: () => fleet.watch.view.news.suspectParts,
    requestTrial: (value) =>
      fleet.control.call({changes: true, totalMs: TRIAL_CALL_TIMEOUT_MS, value}),
  });
}
