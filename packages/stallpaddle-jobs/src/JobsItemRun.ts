/** A single run of a batch item on an engine. */
import type {EngineView} from 'stallpaddle-fleet';
import type {
  EngineCall,
  EngineCallStart,
  NotRunReason,
  RelayLatencies,
  RelayWire,
  StartCheck,
} from 'stallpaddle-relay';

import {errorMessage, startTimeout, type Timeout} from 'stallpaddle';
import {
  encodeHeader,
  encodePath,
  engineHeaders,
  EventSplitter,
  forwardedHeaders,
  isFramedResponse,
  isNextEvent,
  readChunks,
  SERVER_ERROR,
  startEngineCall,
} from 'stallpaddle-relay';

import {EVENT_TIMEOUT_MS, FIRST_EVENT_TIMEOUT_MS} from './JobsConstants';

/** The only status of answers with events. */
const SUCCESS = 200;

/** Request and target of a run. */
export interface ItemRunRequest {
  readonly body: Uint8Array;
  /** Checks, once the engine has begun to respond, whether it is the start that was selected. */
  readonly confirmStart: () => Promise<StartCheck>;
  /** The customer that owns the job; undefined if it was submitted without one. */
  readonly customer: string | undefined;
  readonly engine: EngineView;
  readonly headers: readonly (readonly [string, string])[];
  readonly host: string;
  readonly id: string;
  /** Whether the run continues an output. */
  readonly isContinued: boolean;
  /** Id of the last event of earlier runs, after which this run resumes. */
  readonly lastEvent: string | null;
  /** Called with the data and id of each event. */
  readonly onEvent: (data: string, id: string | null) => void;
  /** Called before the first event if the engine is the start that was selected. */
  readonly onConfirmed: () => void;
  readonly path: string;
}

/** How a run ended. */
export type ItemRunEnd =
  /** The stream broke off or had an event out of order; earlier events are valid. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** The dispatcher cancelled the run. */
  | {readonly kind: 'cut'}
  /** The engine answered with an error status. */
  | {readonly kind: 'failed'; readonly status: number}
  | {readonly error?: string; readonly kind: 'notRun'; readonly reason: NotRunReason}
  /** The run was to continue an output, and its engine is not known to be the start that was selected. */
  | {readonly check: StartCheck['kind']; readonly kind: 'unconfirmed'}
  /** `isFramed`: the answer states where it ends; otherwise it ended with its connection. */
  | {readonly isFramed: boolean; readonly kind: 'whole'};

/** A run in progress. */
export interface ItemRun {
  readonly cancel: () => void;
  readonly ended: Promise<ItemRunEnd>;
}

type Answer = Extract<EngineCallStart, {kind: 'answer'}>;

async function readEvents(
  {res}: Answer,
  req: ItemRunRequest,
  resetIdleTimeout: () => void,
): Promise<ItemRunEnd> {
  const splitter = new EventSplitter();
  let last = req.lastEvent;
  let events = 0;
  let disorder: string | undefined;
  const onChunk = (chunk: Buffer): boolean => {
    const complete = splitter.push(chunk);
    // Bytes that complete no event don't show that the engine is at work.
    if (complete.length > 0) {
      resetIdleTimeout();
    }
    for (const {data, id} of complete) {
      // An item can only go on after an event with an id.
      if (id === null || !isNextEvent(last, id)) {
        disorder = `event ${id} came after event ${last}`;
        return false;
      }
      last = id;
      events++;
      req.onEvent(data, id);
    }
    return true;
  };
  try {
    await readChunks(res, onChunk);
  } catch (err) {
    return {kind: 'broken', reason: errorMessage(err)};
  }
  if (disorder !== undefined) {
    return {kind: 'broken', reason: disorder};
  }
  if (!res.complete || splitter.pending > 0) {
    return {kind: 'broken', reason: 'the stream ended within an event'};
  }
  const isFramed = isFramedResponse(res);
  return isFramed || events > 0
    ? {isFramed, kind: 'whole'}
    : {kind: 'broken', reason: 'the connection ended before the first event'};
}

/** Reads the events, those of a run that continues an output only from the start that was selected. */
async function readConfirmed(
  call: EngineCall,
  answer: Answer,
  req: ItemRunRequest,
  resetIdleTimeout: () => void,
): Promise<ItemRunEnd> {
  const check = await req.confirmStart();
  if (call.isClosed) {
    return {kind: 'broken', reason: 'the call was closed before its engine was confirmed'};
  }
  if (check.kind === 'confirmed') {
    req.onConfirmed();
  } else if (req.isContinued) {
    return {check: check.kind, kind: 'unconfirmed'};
  }
  return readEvents(answer, req, resetIdleTimeout);
}

async function readAnswer(
  call: EngineCall,
  req: ItemRunRequest,
  resetIdleTimeout: () => void,
): Promise<ItemRunEnd> {
  const start = await call.started;
  switch (start.kind) {
    case 'answer': {
      const status = start.res.statusCode ?? SERVER_ERROR;
      return status === SUCCESS
        ? readConfirmed(call, start, req, resetIdleTimeout)
        : {kind: 'failed', status};
    }
    case 'mayHaveRun':
      return {kind: 'broken', reason: start.reason};
    case 'notRun':
      return start;
  }
}

/**
 * Starts a run.
 *
 * @param wire the engines' protocol
 * @param latencies the engines' response times
 * @param req request and target of the run
 */
export function startItemRun(
  wire: RelayWire,
  latencies: RelayLatencies,
  req: ItemRunRequest,
): ItemRun {
  const requestId = encodeHeader(req.id);
  const ownHeaders = engineHeaders(wire, {
    customer: req.customer,
    deadlineMs: null,
    engine: req.engine.id,
    requestId,
    resumeAfter: req.lastEvent,
  });
  const raw = req.headers.flat().map(encodeHeader);
  const call = startEngineCall(wire, latencies, {
    address: req.engine.address,
    body: req.body,
    headers: forwardedHeaders(
      raw,
      [['Host', req.host], ...ownHeaders],
      req.customer === undefined ? [] : wire.callerHeaders,
    ),
    method: 'POST',
    path: encodePath(req.path),
    requestId,
  });
  const firstEventTimeout = startTimeout(FIRST_EVENT_TIMEOUT_MS, call.close);
  let eventTimeout: Timeout | undefined;
  const resetIdleTimeout = (): void => {
    if (eventTimeout === undefined) {
      firstEventTimeout.cancel();
      eventTimeout = startTimeout(EVENT_TIMEOUT_MS, call.close);
    } else {
      eventTimeout.restart();
    }
  };
  let isCancelled = false;
  const ended = readAnswer(call, req, resetIdleTimeout).then((end): ItemRunEnd => {
    firstEventTimeout.cancel();
    eventTimeout?.cancel();
    // Events that were not read when the call was closed are discarded, and the rest still looks whole.
    const isWhole = end.kind === 'whole' && !call.isClosed;
    call.close();
    if (isCancelled && !isWhole) {
      return {kind: 'cut'};
    }
    return end.kind === 'whole' && !isWhole
      ? {kind: 'broken', reason: 'the call was closed before the output was read'}
      : end;
  });
  const cancel = (): void => {
    isCancelled = true;
    call.close();
  };
  return {cancel, ended};
}
