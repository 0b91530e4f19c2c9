/**
 * The configuration in force on this VM: only rising revisions, and how fresh it is known to be.
 */
import type {MonotonicMs} from 'stallpaddle';
import type {ConfigChange, FleetConfig} from 'stallpaddle-control';

import {applyChanges, EMPTY_CONFIG} from 'stallpaddle-control';
import {MAX_CONFIG_AGE_MS} from 'stallpaddle-membership';

/** What is in force, and since when it is known to be the latest. */
export interface ConfigView {
  readonly config: FleetConfig;
  /** Latest time at which the revision was known to be the newest; -Infinity after a start. */
  readonly freshAt: MonotonicMs;
  readonly revision: number;
}

/** A VM that has just started. */
export const UNKNOWN_CONFIG: ConfigView = {
  config: EMPTY_CONFIG,
  freshAt: -Infinity,
  revision: 0,
};

/** What another VM told of the configuration. */
export interface ConfigUpdate {
  readonly changes: readonly ConfigChange[];
  /** Revision that the changes lead to. */
  readonly revision: number;
  /** The changes build the configuration from nothing. */
  readonly whole: boolean;
}

/**
 * Takes over news. An older or equal revision changes nothing.
 *
 * @param view what is in force
 * @param news what was told
 * @param basis revision that the changes start from
 */
export function applyConfigUpdate(view: ConfigView, news: ConfigUpdate, basis: number): ConfigView {
  if (news.revision <= view.revision || (!news.whole && basis !== view.revision)) {
    return view;
  }
  const base = news.whole ? EMPTY_CONFIG : view.config;
  return {...view, config: applyChanges(base, news.changes), revision: news.revision};
}

/**
 * Takes over a whole configuration from this VM's own replica.
 *
 * @param view what is in force
 * @param config configuration as applied
 * @param revision its revision
 */
export function replaceConfig(view: ConfigView, config: FleetConfig, revision: number): ConfigView {
  return revision <= view.revision ? view : {...view, config, revision};
}

/**
 * Notes that a revision was the newest at some time.
 *
 * @param view what is in force
 * @param revision the newest revision at that time
 * @param at that time, on this VM's clock
 */
export function noteFresh(view: ConfigView, revision: number, at: MonotonicMs): ConfigView {
  return revision > view.revision || at <= view.freshAt ? view : {...view, freshAt: at};
}

/**
 * Whether the configuration is fresh enough to take new work on.
 *
 * @param view what is in force
 * @param now monotonic time
 */
export function isFresh(view: ConfigView, now: MonotonicMs): boolean {
  return now - view.freshAt < MAX_CONFIG_AGE_MS;
}
