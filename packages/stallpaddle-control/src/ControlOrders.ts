/**
 * Which orders bring the engines to what the configuration says. Pure; the issuer must hold the
 * control group's lease while it sends them.
 */
import type {EngineId} from 'stallpaddle';

import type {FleetConfig} from './ControlTypes';

import {engineTarget} from './ControlConfig';

/** What an engine last said of itself. */
export interface EngineReport {
  readonly engine: EngineId;
  /** Weights that it can serve now. */
  readonly loaded: readonly string[];
  /** Weights that it is loading. */
  readonly loading: readonly string[];
}

/** An order to one engine. It names the absolute target, so that a doubled order does no harm. */
export interface EngineOrder {
  readonly engine: EngineId;
  /** Weights that the engine shall hold, sorted. */
  readonly target: readonly string[];
}

/** Loads that may run at once, so that the weight store's rate is kept. */
export const MAX_CONCURRENT_LOADS = 2;

function sameNames(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name) => b.includes(name));
}

/**
 * Weights that must stay although the target no longer names them: the engine is the last one that
 * has them loaded, and some service still answers by them.
 */
function neededHere(
  config: FleetConfig,
  report: EngineReport,
  reports: readonly EngineReport[],
): readonly string[] {
  const wanted = new Set(
    [...config.engines.keys()].flatMap((engine) => engineTarget(config, engine)),
  );
  return report.loaded.filter(
    (name) =>
      wanted.has(name) &&
      !reports.some((other) => other.engine !== report.engine && other.loaded.includes(name)),
  );
}

/**
 * The orders to send now. An engine that did not report gets none.
 *
 * @param config configuration in force
 * @param reports what the engines say
 */
export function nextOrders(
  config: FleetConfig,
  reports: readonly EngineReport[],
): readonly EngineOrder[] {
  let loads = reports.reduce((sum, report) => sum + (report.loading.length > 0 ? 1 : 0), 0);
  const orders: EngineOrder[] = [];
  for (const report of reports) {
    const target = engineTarget(config, report.engine);
    const held = [...report.loaded, ...report.loading];
    if (sameNames(held, target)) {
      continue;
    }
    const mustLoad = target.some((name) => !held.includes(name));
    if (mustLoad && loads >= MAX_CONCURRENT_LOADS) {
      continue;
    }
    loads += mustLoad ? 1 : 0;
    const kept = [...new Set([...target, ...neededHere(config, report, reports)])].sort();
    if (!sameNames(held, kept)) {
      orders.push({engine: report.engine, target: kept});
    }
  }
  return orders;
}

/** Orders that one term may number. */
const ORDERS_PER_TERM = 1_000_000;

/**
 * Fencing number of an order: rises with the control group's term, then with the order.
 *
 * @param term term in which the issuer leads
 * @param order the order's number in that term, from 0
 */
export function fencingToken(term: number, order: number): number {
  return term * ORDERS_PER_TERM + (order % ORDERS_PER_TERM);
}
