/**
 * One run of an item at one engine, from its first event to its last or to its cut.
 */
import type {EngineView} from 'stallpaddle-fleet';
import type {
  EngineCall,
  EngineCallStart,
  NotRunReason,
  RelayPace,
  RelayWire,
} from 'stallpaddle-relay';

import {errorMessage, registerTimeout} from 'stallpaddle';
import {
  continues,
  EventSplitter,
  passedHeaders,
  SERVER_ERROR,
  startEngineCall,
} from 'stallpaddle-relay';

import {EVENT_TIMEOUT_MS, FIRST_EVENT_TIMEOUT_MS} from './JobsConstants';

/** The only status that events come with. */
const SUCCESS = 200;

/** What a run is made of. */
export interface ItemRunRequest {
  readonly body: Uint8Array;
  /** The customer in whose name it runs; undefined where the fleet knew none. */
  readonly customer: string | undefined;
  readonly engine: EngineView;
  readonly headers: readonly (readonly [string, string])[];
  readonly host: string;
  readonly id: string;
  /** Last event that an earlier run brought. */
  readonly lastEvent: string | null;
  /** Takes in an event's data and number. */
  readonly onEvent: (data: string, id: string | null) => void;
  readonly path: string;
}

/** How a run ended. */
export type ItemRunEnd =
  /** The stream broke off or brought an event out of order; what came before it counts. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** The dispatcher ended it. */
  | {readonly kind: 'cut'}
  /** The item ran and failed. */
  | {readonly kind: 'failed'; readonly status: number}
  | {readonly kind: 'notRun'; readonly reason: NotRunReason}
  | {readonly kind: 'whole'};

/** A run under way. */
export interface ItemRun {
  readonly cancel: () => void;
  readonly ended: Promise<ItemRunEnd>;
}

type Answer = Extract<EngineCallStart, {kind: 'answer'}>;

async function readEvents(
  {res}: Answer,
  req: ItemRunRequest,
  alive: () => void,
): Promise<ItemRunEnd> {
  const splitter = new EventSplitter();
  let last = req.lastEvent;
  try {
    for await (const chunk of res) {
      alive();
      for (const {data, id} of splitter.push(chunk as Buffer)) {
        if (!continues(last, id)) {
          return {kind: 'broken', reason: `event ${id} came after event ${last}`};
        }
        last = id ?? last;
        req.onEvent(data, id);
      }
    }
  } catch (err) {
    return {kind: 'broken', reason: errorMessage(err)};
  }
  return res.complete && splitter.pending === 0
    ? {kind: 'whole'}
    : {kind: 'broken', reason: 'the stream ended within an event'};
}

async function follow(
  call: EngineCall,
  req: ItemRunRequest,
  alive: () => void,
): Promise<ItemRunEnd> {
  const start = await call.started;
  switch (start.kind) {
    case 'answer': {
      const status = start.res.statusCode ?? SERVER_ERROR;
      return status === SUCCESS ? readEvents(start, req, alive) : {kind: 'failed', status};
    }
    case 'mayHaveRun':
      return {kind: 'broken', reason: start.reason};
    case 'notRun':
      return {kind: 'notRun', reason: start.reason};
  }
}

/**
 * Starts a run.
 *
 * @param wire the engines' words
 * @param pace how fast engines are
 * @param req what it is made of
 */
export function startItemRun(wire: RelayWire, pace: RelayPace, req: ItemRunRequest): ItemRun {
  const set = wire.engineHeaders({
    customer: req.customer,
    deadlineMs: null,
    engine: req.engine.id,
    requestId: req.id,
    resumeAfter: req.lastEvent,
  });
  const raw = req.headers.flat();
  const call = startEngineCall(wire, pace, {
    address: req.engine.address,
    body: req.body,
    headers: passedHeaders(
      raw,
      [['Host', req.host], ...set],
      req.customer === undefined ? [] : wire.callerHeaders,
    ),
    method: 'POST',
    path: req.path,
    requestId: req.id,
  });
  let endWait = registerTimeout(FIRST_EVENT_TIMEOUT_MS, call.close);
  const alive = (): void => {
    endWait();
    endWait = registerTimeout(EVENT_TIMEOUT_MS, call.close);
  };
  let wasCut = false;
  const ended = follow(call, req, alive).then((end): ItemRunEnd => {
    endWait();
    call.close();
    return wasCut && end.kind !== 'whole' ? {kind: 'cut'} : end;
  });
  const cut = (): void => {
    wasCut = true;
    call.close();
  };
  return {cancel: cut, ended};
}
