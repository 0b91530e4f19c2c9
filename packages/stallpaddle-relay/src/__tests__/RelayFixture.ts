/**
 * Starts a relay with simulated engines and sends it requests.
 */
import type {Clock} from 'stallpaddle';
import type {EngineSoftware, FleetRoute} from 'stallpaddle-fleet';

import {
  type ClientRequest,
  createServer,
  type IncomingMessage,
  request,
  type Server,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {seededRandom, systemClock} from 'stallpaddle';
import {FakeSuspectStore, PLAIN, plainRelay, StreamEngine} from 'stallpaddle-testing';

import type {RelayStreams} from '../RelayStreams';
import type {RelayCaller, RelayContext, RelayEnd, RelayRequest} from '../RelayTypes';

import {RelayAdmission} from '../RelayAdmission';
import {RelayEngineHealth} from '../RelayEngineHealth';
import {RelayFleetLoad} from '../RelayFleetLoad';
import {RelayHeldBytes} from '../RelayHeldBytes';
import {RelayLatencies} from '../RelayLatencies';
import {RelayOnlineLoad} from '../RelayOnlineLoad';
import {RelayRun} from '../RelayRun';
import {RelayStarts} from '../RelayStarts';

/** Length of a body from which on the client discards what it receives, in characters. */
const MAX_KEPT_CHARACTERS = 1_048_576;

/** Response that a caller received. */
export interface CallerResponse {
  /** The body, without what follows the part that the client keeps. */
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** False when the response was interrupted. */
  readonly isComplete: boolean;
  readonly status: number;
}

const cleanups: (() => Promise<void> | void)[] = [];

/** Registers a step that runs at the end of a test. */
export function registerCleanup(step: () => Promise<void> | void): void {
  cleanups.push(step);
}

/** Runs all registered cleanup steps. */
export async function stopAll(): Promise<void> {
  for (const step of cleanups.splice(0)) {
    await step();
  }
}

/** A route of a resumable stream, with changes. */
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

/** A request to the route above that has just arrived, with changes. */
export function requestOf(changes: Partial<RelayRequest> = {}): RelayRequest {
  return {
    arrivedAt: systemClock.monotonicMs(),
    body: new Uint8Array(),
    caller: {kind: 'untold'},
    host: '',
    metadata: {
      caller: '',
      deadlineMs: null,
      firstAttempt: null,
      requestId: '',
      resumeAfter: null,
      sharedParts: [],
    },
    method: 'POST',
    path: '/',
    rawHeaders: [],
    route: routeOf(),
    spentMs: 0,
    ...changes,
  };
}

/** Remembers streams in memory; without a record, the only version of the engines began the stream. */
function streamsOf(versions: ReadonlySet<string>): RelayStreams {
  const records = new Map<string, EngineSoftware>();
  const [only] = versions.size === 1 ? versions : [];
  return {
    find: (firstAttempt) =>
      Promise.resolve(
        records.get(firstAttempt ?? '') ??
          (only === undefined ? undefined : {service: 's', softwareVersion: only}),
      ),
    record: ({firstAttempt, software}) => records.set(firstAttempt, software),
    recordLater: (firstAttempt, record) =>
      void record.then(({software}) => records.set(firstAttempt, software)),
  };
}

/** Starts simulated engines. */
export async function startEngines(count: number): Promise<readonly StreamEngine[]> {
  const engines = await Promise.all(Array.from({length: count}, () => StreamEngine.start()));
  engines.forEach((engine) => cleanups.push(() => engine.stop()));
  return engines;
}

/**
 * Context of a relay; isLoadKnown says whether a report on the other VMs' requests (there are none) was received, and
 * versions lists the engines' software versions.
 */
export function contextOf(
  engines: readonly Pick<StreamEngine, 'address'>[],
  isLoadKnown = true,
  versions: readonly string[] = [],
  clock: Clock = systemClock,
): RelayContext {
  const views = engines.map((engine, at) => ({
    address: engine.address,
    draining: false,
    id: `e${at}`,
    sequence: 0,
    service: 's',
    silent: false,
    slots: 4,
    softwareVersion: versions[at] ?? 'v1',
    startedAtMs: 0,
    zone: 'z',
  }));
  const online = new RelayOnlineLoad(clock);
  if (isLoadKnown) {
    online.applyReport({}, true, []);
  }
  const fleetLoad = new RelayFleetLoad(clock);
  return {
    admission: new RelayAdmission({
      aboveShare: () => () => false,
      clock,
      decide: () => {},
      fleetLoad,
      online,
      priorityOf: () => null,
      random: seededRandom(2),
    }),
    clock,
    decide: () => {},
    engineHealth: new RelayEngineHealth(clock),
    engines: () => views,
    fleetLoad,
    held: new RelayHeldBytes({limitBytes: () => undefined, onDisconnect: () => {}}),
    isOn: () => false,
    latencies: new RelayLatencies(),
    online,
    random: seededRandom(1),
    starts: new RelayStarts(plainRelay),
    streams: streamsOf(new Set(views.map(({softwareVersion}) => softwareVersion))),
    suspects: new FakeSuspectStore().view(plainRelay, () => views),
    viewAgeMs: () => 0,
    wire: plainRelay,
    zone: 'z',
  };
}

/** Context of a relay that doesn't avoid an engine for its earlier failures. */
export function forgetfulContextOf(
  engines: readonly Pick<StreamEngine, 'address'>[],
): RelayContext {
  return {
    ...contextOf(engines),
    get engineHealth() {
      return new RelayEngineHealth(systemClock);
    },
  };
}

/** Starts a relay; the result collects the outcomes of its requests. */
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
        arrivedAt: context.clock.monotonicMs(),
        body: Buffer.concat(chunks),
        caller,
        host: req.headers.host ?? '',
        metadata: plainRelay.readCaller(req.headers)!,
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
  cleanups.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return {ends, port: (server.address() as AddressInfo).port};
}

function requestTo(port: number, more: Readonly<Record<string, string>> = {}): ClientRequest {
  return request({
    headers: {
      host: 'a.example',
      [PLAIN.request]: 'q1',
      [PLAIN.timeLeft]: '1500',
      'x-other': 'kept',
      ...more,
    },
    host: '127.0.0.1',
    method: 'POST',
    path: '/a/b?c=d',
    port,
  });
}

/** Sends a request and returns its response, of which nothing is read. */
export function openResponse(port: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const req = requestTo(port);
    req.on('response', resolve);
    req.on('error', reject);
    req.end('the body');
  });
}

/** Sends a request and waits for the response; closes the connection after leaveAfterMs if given. */
export function sendRequest(
  port: number,
  leaveAfterMs?: number,
  more: Readonly<Record<string, string>> = {},
  body = 'the body',
): Promise<CallerResponse> {
  return new Promise((resolve) => {
    const req = requestTo(port, more);
    let text = '';
    const finish = (isComplete: boolean, status = 0, headers = {}): void =>
      resolve({body: text, headers, isComplete, status});
    req.on('response', (res) => {
      res.on('data', (chunk: Buffer) => {
        if (text.length < MAX_KEPT_CHARACTERS) {
          text += chunk.toString();
        }
      });
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
