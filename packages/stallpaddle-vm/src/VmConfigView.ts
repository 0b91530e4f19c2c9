/** The configuration in force on this VM, and when it was last known to be the latest. */
import type {MonotonicMs} from 'stallpaddle';
import type {ConfigChange, FleetConfig} from 'stallpaddle-control';

import {applyChanges, EMPTY_CONFIG} from 'stallpaddle-control';
import {MAX_CONFIG_AGE_MS} from 'stallpaddle-membership';

/** The configuration in force; its revision only rises. */
export interface ConfigView {
  readonly config: FleetConfig;
  /** Last time at which the revision was known to be the latest; -Infinity after a start. */
  readonly freshAt: MonotonicMs;
  readonly revision: number;
}

/** The view of a VM that has just started. */
export const UNKNOWN_CONFIG: ConfigView = {
  config: EMPTY_CONFIG,
  freshAt: -Infinity,
  revision: 0,
};

/** A configuration update from another VM. */
export interface ConfigUpdate {
  readonly changes: readonly ConfigChange[];
  /** Revision that the changes lead to. */
  readonly revision: number;
  /** The changes build the whole configuration, from an empty one. */
  readonly whole: boolean;
}

/**
 * Applies an update. Ignores one that is not newer, or whose changes start from another revision.
 *
 * @param view the configuration in force
 * @param update the update
 * @param basis revision that the changes start from
 */
export function applyConfigUpdate(
  view: ConfigView,
  update: ConfigUpdate,
  basis: number,
): ConfigView {
  if (update.revision <= view.revision || (!update.whole && basis !== view.revision)) {
    return view;
  }
  const base = update.whole ? EMPTY_CONFIG : view.config;
  return {...view, config: applyChanges(base, update.changes), revision: update.revision};
}

/**
 * Replaces the configuration by that of this VM's own replica, if it is newer.
 *
 * @param view the configuration in force
 * @param config the replica's configuration
 * @param revision its revision
 */
export function replaceConfig(view: ConfigView, config: FleetConfig, revision: number): ConfigView {
  return revision <= view.revision ? view : {...view, config, revision};
}

/**
 * Records when the revision in force was known to be the latest; ignores newer revisions.
 *
 * @param view the configuration in force
 * @param revision the latest revision at that time
 * @param at that time, on this VM's clock
 */
export function noteFresh(view: ConfigView, revision: number, at: MonotonicMs): ConfigView {
  return revision > view.revision || at <= view.freshAt ? view : {...view, freshAt: at};
}

/**
 * Whether the configuration is fresh enough to accept new work.
 *
 * @param view the configuration in force
 * @param now monotonic time
 */
export function isFresh(view: ConfigView, now: MonotonicMs): boolean {
  return now - view.freshAt < MAX_CONFIG_AGE_MS;
}
