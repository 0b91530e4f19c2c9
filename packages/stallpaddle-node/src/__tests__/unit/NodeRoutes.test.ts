/** Guards against requests that are routed by a configuration that may have been replaced. */
import {expect, test} from 'vitest';

import {NodeRoutes} from '../../NodeRoutes';

const LIMITS = {headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1};
const ROUTE = {
  giveUpAfterMs: 0,
  host: 'a.example',
  kind: 'repeatable',
  maxAttempts: 1,
  maxWaitingTokens: 0,
  name: 'r',
  objectiveMs: 300,
  pathPrefix: '/a/',
  resumable: false,
  split: [{service: 's', weight: 1}],
  targetMs: 0,
  timeoutMs: 5_000,
} as const;

test('a request is rejected, and has not run, while a newer configuration may be in force', async () => {
  const watch = {
    ageMs: Infinity,
    lacksConfig: false,
    refresh: () => Promise.resolve(false),
    view: undefined as never,
  };
  const routes = new NodeRoutes(watch, {decide: () => {}});
  routes.applyConfig({limits: LIMITS, routes: [ROUTE], services: [], version: 1});
  expect(await routes.routeOf('a.example', '/a/1')).toBe(ROUTE);
  watch.lacksConfig = true;
  await expect(routes.routeOf('a.example', '/a/1')).rejects.toMatchObject({
    code: 'stale',
    verdict: 'notRun',
  });
});
