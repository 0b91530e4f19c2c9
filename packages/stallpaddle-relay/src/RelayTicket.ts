/**
 * What the admission knows of one request.
 */
import type {LogFields, MonotonicMs} from 'stallpaddle';

import {
  EARLY_FRACTION,
  expectedWaitMs,
  MIN_RETURN_MS,
  type WaitingRequest,
  type WaitInput,
  waitLimitMs,
} from 'stallpaddle-admission';

import type {RelayRequest} from './RelayTypes';

/** Time before the end of the early part of a wait at which a request is checked again: a timer may fire late. */
const REVIEW_MARGIN_MS = 10;

/** A request that waits or may have to wait for a slot. */
export interface AdmissionTicket extends WaitingRequest {
  /** Time at which the caller gives up. */
  readonly deadlineAt: MonotonicMs;
  /** Whether the caller or this VM has tried before; such a request is lost to its caller if it is rejected. */
  readonly isRetry: boolean;
  /** Time until which the request may wait. */
  readonly limitAt: MonotonicMs;
  readonly objectiveMs: number;
  readonly requestId: string;
  /** Last time at which a waiting request is checked for an early rejection; -Infinity for a return. */
  readonly reviewAt: MonotonicMs;
}

/** What a ticket depends on beside the request. */
export interface TicketInput {
  /** Whether returns of rejected callers are due, so that a caller that tries again is taken for one. */
  readonly expectsReturns: boolean;
  /** Mean time to the first event, in milliseconds. */
  readonly firstMs: number;
  readonly id: number;
  /** Mean time that a request runs, in milliseconds. */
  readonly meanRunMs: number;
  /** Priority of the request's customer; null to use the route's. */
  readonly priority: null | number;
  /** Whether the request was sent to an engine before; it then goes first like a return. */
  readonly wasSent: boolean;
}

/**
 * Customer of a request; empty if it has none.
 *
 * @param req the request
 */
export function customerOf({caller}: RelayRequest): string {
  return caller.kind === 'customer' ? caller.name : '';
}

/**
 * Describes a request for the queue.
 *
 * @param req the request
 * @param input what the ticket depends on
 */
export function makeTicket(req: RelayRequest, input: TicketInput): AdmissionTicket {
  const {arrivedAt, metadata, route, spentMs} = req;
  const {expectsReturns, firstMs, id, meanRunMs, priority, wasSent} = input;
  const {objectiveMs} = route;
  const allowedMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity);
  const isRetry = wasSent || spentMs >= MIN_RETURN_MS;
  const limitAt = arrivedAt + waitLimitMs({allowedMs, isReturn: isRetry, meanRunMs});
  const reviewAt = arrivedAt + objectiveMs * EARLY_FRACTION - REVIEW_MARGIN_MS;
  return {
    arrivedAt,
    customer: customerOf(req),
    deadlineAt: arrivedAt + allowedMs,
    id,
    isRetry,
    isReturn: wasSent || (isRetry && expectsReturns),
    limitAt,
    objectiveAt: objectiveMs === 0 ? limitAt : arrivedAt + objectiveMs - spentMs - firstMs,
    objectiveMs,
    rank: priority ?? route.priority ?? 0,
    requestId: metadata.requestId,
    reviewAt: isRetry ? -Infinity : reviewAt,
    weight: null,
  };
}

/**
 * Log fields of a decision: what it is based on.
 *
 * @param ticket the request
 * @param input what the expected wait is computed from
 * @param roomAgeMs age of the report on free capacity, in milliseconds
 * @param now current time
 */
export function ticketFields(
  ticket: AdmissionTicket,
  input: WaitInput,
  roomAgeMs: number,
  now: MonotonicMs,
): LogFields {
  const {ahead, freedPerSecond, returnsPerSecond, room, waitingHere} = input;
  const expectedMs = expectedWaitMs(input);
  return {
    ahead,
    customer: ticket.customer === '' ? undefined : ticket.customer,
    expectedMs: expectedMs === null ? undefined : Math.round(expectedMs),
    freedPerSecond,
    isReturn: ticket.isReturn,
    queued: waitingHere,
    rank: ticket.rank,
    returnsPerSecond,
    roomAgeMs: room === undefined ? undefined : Math.round(roomAgeMs),
    roomBurstEndsInMs: room?.burstEndsInMs ?? undefined,
    roomFree: room?.freeSlots,
    roomItems: room?.itemSlots,
    roomStarts: room?.startsPerSecond,
    roomWaiting: room?.waiting,
    waitedMs: Math.round(now - ticket.arrivedAt),
  };
}
