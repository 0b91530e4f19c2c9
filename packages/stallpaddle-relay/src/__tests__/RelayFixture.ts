/**
 * A relay before stand-in engines, and its callers.
 */
import type {FleetRoute} from 'stallpaddle-fleet';

import {createServer, request, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {seededRandom, systemClock} from 'stallpaddle';
import {PLAIN, plainRelay, StreamEngine, SuspectBoard} from 'stallpaddle-testing';

import type {RelayCaller, RelayContext, RelayEnd} from '../RelayTypes';

import {RelayEngineHealth} from '../RelayEngineHealth';
import {RelayOnlineLoad} from '../RelayOnlineLoad';
import {RelayLatencies} from '../RelayLatencies';
import {RelayRun} from '../RelayRun';

/** What a caller got. */
export interface CallerAnswer {
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** False when the answer broke off. */
  readonly isWhole: boolean;
  readonly status: number;
}

const undo: (() => Promise<void> | void)[] = [];

/** Adds what the end of a test must stop. */
export function registerUndo(step: () => Promise<void> | void): void {
  undo.push(step);
}

/** Stops whatever a test has started. */
export async function stopAll(): Promise<void> {
  for (const step of undo.splice(0)) {
    await step();
  }
}

/** A route; what a test doesn't name is a resumable stream's. */
export function routeOf(changes: Partial<FleetRoute> = {}): FleetRoute {
  return {
    giveUpAfterMs: 0,
    host: 'a.example',
    kind: 'streaming',
    maxAttempts: 2,
    maxWaitingTokens: 0,
    name: 'r',
    objectiveMs: 300,
    pathPrefix: '/a/',
    resumable: true,
    split: [{service: 's', weight: 1}],
    targetMs: 0,
    timeoutMs: 2_000,
    ...changes,
  };
}

/** Starts engines. */
export async function startEngines(count: number): Promise<readonly StreamEngine[]> {
  const engines = await Promise.all(Array.from({length: count}, () => StreamEngine.start()));
  engines.forEach((engine) => undo.push(() => engine.stop()));
  return engines;
}

/** What a relay before some engines needs of its process, where other VMs have no requests or nothing is known of them. */
export function contextOf(engines: readonly StreamEngine[], isTold = true): RelayContext {
  const views = engines.map((engine, at) => ({
    address: engine.address,
    draining: false,
    id: `e${at}`,
    sequence: 0,
    service: 's',
    silent: false,
    slots: 4,
    startedAtMs: 0,
    zone: 'z',
  }));
  const online = new RelayOnlineLoad(systemClock);
  if (isTold) {
    online.applyReport({}, true, []);
  }
  return {
    clock: systemClock,
    decide: () => {},
    engines: () => views,
    engineHealth: new RelayEngineHealth(systemClock),
    online,
    latencies: new RelayLatencies(),
    random: seededRandom(1),
    suspects: new SuspectBoard().view(plainRelay, () => views),
    viewAgeMs: () => 0,
    wire: plainRelay,
    zone: 'z',
  };
}

/** A relay before engines; counts how its requests ended. */
export async function startRelay(
  context: RelayContext,
  route: FleetRoute,
  spentMs = 0,
  caller: RelayCaller = {kind: 'untold'},
): Promise<{readonly ends: RelayEnd[]; readonly port: number}> {
  const ends: RelayEnd[] = [];
  const server: Server = createServer(async (req, res) => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
      chunks.push(chunk as Buffer);
    }
    const run = new RelayRun(
      context,
      {
        arrivedAt: systemClock.monotonicMs(),
        body: Buffer.concat(chunks),
        caller,
        metadata: plainRelay.readCaller(req.headers)!,
        host: req.headers.host ?? '',
        method: req.method!,
        path: req.url!,
        rawHeaders: req.rawHeaders,
        route,
        spentMs,
      },
      res,
    );
    ends.push(await run.run());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  undo.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return {ends, port: (server.address() as AddressInfo).port};
}

/** Sends a request. */
export function ask(
  port: number,
  leaveAfterMs?: number,
  more: Readonly<Record<string, string>> = {},
  body = 'the body',
): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const req = request({
      headers: {
        ...more,
        host: 'a.example',
        [PLAIN.request]: 'q1',
        [PLAIN.timeLeft]: '1500',
        'x-other': 'kept',
      },
      host: '127.0.0.1',
      method: 'POST',
      path: '/a/b?c=d',
      port,
    });
    let text = '';
    const finish = (isWhole: boolean, status = 0, headers = {}): void =>
      resolve({body: text, headers, isWhole, status});
    req.on('response', (res) => {
      res.on('data', (chunk: Buffer) => (text += chunk.toString()));
      res.on('error', () => {});
      res.on('close', () => finish(res.complete, res.statusCode, res.headers));
    });
    req.on('error', () => finish(false));
    req.end(body);
    if (leaveAfterMs !== undefined) {
      setTimeout(() => req.destroy(), leaveAfterMs);
    }
  });
}
