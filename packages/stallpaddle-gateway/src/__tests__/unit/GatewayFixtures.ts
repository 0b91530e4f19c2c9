/**
 * Fixtures of the gateway's tests.
 */
import type {EngineAdapter} from 'stallpaddle-engine';
import type {RoutingState} from 'stallpaddle-routing';

import {seededRandom, silentLogger} from 'stallpaddle';
import {EMPTY_CONFIG} from 'stallpaddle-control';
import {EngineLanes} from 'stallpaddle-engine';
import {initialMembership} from 'stallpaddle-membership';
import {EMPTY_ROUTING, stepRouting} from 'stallpaddle-routing';
import {parseSettings} from 'stallpaddle-settings';

import type {GatewayContext} from '../../GatewayContext';

import {GatewayMetrics} from '../../GatewayMetrics';

/** Engines of the context. */
export const ENGINES = ['e1', 'e2', 'e3'] as const;

/**
 * Creates a gateway context in which all engines share one adapter and the clocks stand still.
 *
 * @param adapter adapter of every engine
 * @param changes replaced members
 */
export function createContext(
  adapter: EngineAdapter,
  changes: Partial<GatewayContext> = {},
): GatewayContext {
  const setups = ENGINES.map((engine) => ({engine, role: 'all' as const, slots: 4, zone: 'z'}));
  const load = {batch: 0, online: 0, queued: 0, tokenMs: 1, weights: ['w']};
  let routing: RoutingState = stepRouting(EMPTY_ROUTING, {kind: 'configured', setups}, 0);
  ENGINES.forEach((engine) => {
    routing = stepRouting(routing, {ageMs: 0, engine, kind: 'loadHeard', load}, 0);
  });
  const address = {host: '127.0.0.1', port: 1};
  const settings = parseSettings(
    JSON.stringify({
      callers: address,
      controlReplicas: ['vm'],
      disk: {folder: 'd'},
      kind: 'vm',
      operators: {},
      peers: address,
      seeds: [{...address, vm: 'vm'}],
      vm: 'vm',
      vmKey: 'a-key-of-enough-length',
      zone: 'z',
    }),
  );
  if (settings.kind !== 'vm') {
    throw new Error('expected settings of a VM');
  }
  const unused = (): never => {
    throw new Error('not used here');
  };
  const ownState = {
    callers: address,
    epoch: 1,
    hasDisk: true,
    leaving: false,
    peers: address,
    revision: 1,
    vm: 'vm',
    zone: 'z',
  };
  return {
    adapterOf: () => adapter,
    clock: {monotonicMs: () => 0, wallMs: () => 0},
    config: () => EMPTY_CONFIG,
    control: {command: unused, query: unused},
    lanes: new EngineLanes(),
    ledger: {all: [], forCustomer: unused},
    limits: settings.limits,
    logger: silentLogger,
    membership: () => initialMembership(ownState, 0),
    metrics: new GatewayMetrics(),
    onRouting: (event) => {
      routing = stepRouting(routing, event, 0);
    },
    operatorKeys: new Map(),
    plainAdapterOf: unused,
    random: seededRandom(1),
    refusal: () => undefined,
    routing: () => routing,
    status: unused,
    vm: 'vm',
    zone: 'z',
    ...changes,
  };
}
