/**
 * Orders that tell engines which weights to hold. Pure functions; the sender must hold the control group's leader lease
 * while it sends the orders.
 */
import type {EngineId} from 'stallpaddle';

import type {FleetConfig} from './ControlTypes';

import {engineTarget} from './ControlConfig';

/** Latest status report of an engine. */
export interface EngineReport {
  readonly engine: EngineId;
  /** Weights that the engine can serve. */
  readonly loaded: readonly string[];
  /** Weights that the engine is loading. */
  readonly loading: readonly string[];
}

/** An order to one engine. It holds the complete target, so that a duplicate is harmless. */
export interface EngineOrder {
  readonly engine: EngineId;
  /** Weights that the engine should hold, sorted. */
  readonly target: readonly string[];
}

/** Engines that may load weights at the same time; protects the bandwidth of the weight store. */
export const MAX_CONCURRENT_LOADS = 2;

function sameNames(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name) => b.includes(name));
}

/**
 * Weights that the engine must keep although its target no longer contains them: a service still uses them, and no
 * other engine has loaded them.
 */
function requiredWeights(
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
 * Computes the orders to send now. Engines without a report get none.
 *
 * @param config configuration in force
 * @param reports latest reports of the engines
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
    const kept = [...new Set([...target, ...requiredWeights(config, report, reports)])].sort();
    if (!sameNames(held, kept)) {
      orders.push({engine: report.engine, target: kept});
    }
  }
  return orders;
}

/** Range of order numbers reserved for each term. */
const ORDERS_PER_TERM = 1_000_000;

/**
 * Fencing token of an order: increases with the control group's term, then with the order's number.
 *
 * @param term term in which the sender is leader
 * @param order number of the order in that term, from 0
 */
export function fencingToken(term: number, order: number): number {
  return term * ORDERS_PER_TERM + (order % ORDERS_PER_TERM);
}
