/**
 * Validation of configurations, and routing by host and path prefix.
 */
import {describe, expect, test} from 'vitest';

import type {FleetConfig, FleetRoute} from '../../FleetTypes';

import {findConfigFault, RouteTable} from '../../FleetConfigs';

function routeOf(name: string, changes: Partial<FleetRoute> = {}): FleetRoute {
  return {
    giveUpAfterMs: 0,
    host: 'a.example',
    kind: 'streaming',
    maxAttempts: 1,
    maxWaitingTokens: 0,
    name,
    objectiveMs: 300,
    pathPrefix: `/${name}/`,
    resumable: false,
    split: [{service: 's', weight: 1}],
    targetMs: 0,
    timeoutMs: 5_000,
    ...changes,
  };
}

function configOf(routes: readonly FleetRoute[]): FleetConfig {
  const limits = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
  const services = [{maxConnections: 9, name: 's', slots: 8}];
  return {limits, routes, services, version: 1};
}

describe('findConfigFault', () => {
  test('accepts a valid configuration', () => {
    expect(findConfigFault(configOf([routeOf('a'), routeOf('b')]))).toBeNull();
  });

  test.each<[string, readonly FleetRoute[]]>([
    ['an unknown service', [routeOf('a', {split: [{service: 'x', weight: 1}]})]],
    ['two routes with the same host and prefix', [routeOf('a'), routeOf('b', {pathPrefix: '/a/'})]],
    [
      // Guards against two routes for the same requests, of which one is never obeyed.
      'two routes whose hosts differ only in case',
      [routeOf('a'), routeOf('b', {host: 'A.Example', pathPrefix: '/a/'})],
    ],
    ['weights of 0', [routeOf('a', {split: [{service: 's', weight: 0}]})]],
    ['no service', [routeOf('a', {split: []})]],
    ['no time limit', [routeOf('a', {timeoutMs: 0})]],
    ['a prefix without a closing slash', [routeOf('a', {pathPrefix: '/a'})]],
  ])('rejects %s', (_, routes) => {
    expect(findConfigFault(configOf(routes))?.path).toMatch(/^routes\./);
  });
});

describe('RouteTable', () => {
  // Guards against a 404 for a configured route because the caller writes the host in another way.
  test.each(['A.EXAMPLE', 'a.example:8161', 'a.example.', 'A.example.:8161'])(
    'finds the routes of the host %s',
    (host) => {
      const table = new RouteTable(configOf([routeOf('a'), routeOf('b', {kind: 'batch'})]));
      expect(table.find(host, '/a/1')?.name).toBe('a');
      expect(table.findForJob({host, path: '/b/1', route: 'gone'})?.name).toBe('b');
    },
  );

  test('prefers the routes of a host that is configured with its port', () => {
    const routes = [routeOf('a'), routeOf('b', {host: 'a.example:81', pathPrefix: '/a/'})];
    const table = new RouteTable(configOf(routes));
    expect(table.find('a.example:81', '/a/1')?.name).toBe('b');
    expect(table.find('a.example:82', '/a/1')?.name).toBe('a');
  });

  test('selects the longest matching prefix of the host', () => {
    const routes = [
      routeOf('short', {pathPrefix: '/a/'}),
      routeOf('long', {pathPrefix: '/a/b/'}),
      routeOf('other', {host: 'b.example', pathPrefix: '/a/b/c/'}),
    ];
    const table = new RouteTable(configOf(routes));
    expect(table.find('a.example', '/a/b/c/d')?.name).toBe('long');
    expect(table.find('a.example', '/a/c')?.name).toBe('short');
    expect(table.find('a.example', '/ab/c')).toBeUndefined();
    expect(table.find('c.example', '/a/c')).toBeUndefined();
  });

  // Guards against accepted jobs that lose their route, or get the wrong service, when routes are added beside it.
  test('keeps the batch route that accepted a job, and replaces it only once it was removed', () => {
    const own = routeOf('own', {kind: 'batch', pathPrefix: '/a/'});
    const inner = routeOf('inner', {kind: 'batch', pathPrefix: '/a/b/'});
    const stream = routeOf('stream', {pathPrefix: '/a/b/c/'});
    const elsewhere = routeOf('own', {host: 'b.example', kind: 'batch', pathPrefix: '/x/'});
    const job = {host: 'a.example', path: '/a/b/c/job', route: 'own'};
    const foundIn = (...routes: FleetRoute[]) => new RouteTable(configOf(routes)).findForJob(job);
    expect(foundIn(own, inner, stream)).toBe(own);
    expect(foundIn(elsewhere, inner, own, stream)).toBe(own);
    expect(foundIn(elsewhere, inner)).toBe(elsewhere);
    expect(foundIn(inner, stream)).toBe(inner);
    expect(foundIn(stream)).toBeUndefined();
    expect(foundIn({...own, kind: 'streaming'})).toBeUndefined();
  });
});
