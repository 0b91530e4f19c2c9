/**
 * Admission of the online requests of one VM.
 */
import type {Clock, CustomerId, LogFields, MonotonicMs, Random} from 'stallpaddle';

import {
  bookReturn,
  expectedWaitMs,
  expectsReturns,
  NO_BOOKINGS,
  type OrderState,
  planReturn,
  rejectNow,
  type Return,
  returnsPerSecond,
  type WaitInput,
} from 'stallpaddle-admission';

import type {RelayFleetLoad} from './RelayFleetLoad';
import type {RelayOnlineLoad} from './RelayOnlineLoad';
import type {RelayRequest} from './RelayTypes';

import {RelayFreedSlots} from './RelayFreedSlots';
import {type AdmissionRejection, RelayQueue, type WaitEnd} from './RelayQueue';
import {type AdmissionTicket, customerOf, makeTicket, ticketFields} from './RelayTicket';

/** Longest time between two checks while requests wait, in milliseconds; a safeguard for lost events. */
const SAFEGUARD_MS = 100;

/** Least time between two wakes by answers of the dispatcher, which may arrive every 5 ms, in milliseconds. */
const MIN_REPORT_WAKE_MS = 10;

/** Dependencies of the admission. */
export interface RelayAdmissionOptions {
  /** Tells which customers are above their share at this moment. */
  readonly aboveShare: () => OrderState['isAboveShare'];
  readonly clock: Clock;
  /** Logs one decision. */
  readonly decide: (decision: 'rejected' | 'waited', requestId: string, fields: LogFields) => void;
  readonly fleetLoad: RelayFleetLoad;
  readonly online: RelayOnlineLoad;
  /** Priority of a customer; null to use the route's. */
  readonly priorityOf: (customer: CustomerId) => null | number;
  readonly random: Random;
}

/** Holds one queue per service, and decides which requests wait and which are rejected. */
export class RelayAdmission {
  private bookings = NO_BOOKINGS;
  private checkedAt: MonotonicMs = -Infinity;
  private dueAt: MonotonicMs = Infinity;
  private readonly freed: RelayFreedSlots;
  private lastExpectedMs = 0;
  private nextId = 0;
  private readonly queues = new Map<string, RelayQueue>();
  private timer: NodeJS.Timeout | undefined;
  private wokenAt: MonotonicMs = -Infinity;

  /**
   * @param options dependencies
   */
  constructor(private readonly options: RelayAdmissionOptions) {
    this.freed = new RelayFreedSlots(options.clock);
    options.online.registerReportListener(() => this.onReport());
  }

  /** Expected wait of the latest request that couldn't be sent at once, in milliseconds. */
  get expectedMs(): number {
    return this.lastExpectedMs;
  }

  /** Number of waiting requests. */
  get length(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.length, 0);
  }

  /** Number of waiting requests by customer; the empty name stands for callers without a customer. */
  waitingByCustomer(): Readonly<Record<CustomerId, number>> {
    const waiting = new Map<CustomerId, number>();
    for (const queue of this.queues.values()) {
      queue.customers.forEach((name) => waiting.set(name, (waiting.get(name) ?? 0) + 1));
    }
    return Object.fromEntries(waiting);
  }

  /**
   * Describes a request for the queue.
   *
   * @param req the request
   * @param firstMs mean time to the first event, in milliseconds
   * @param wasSent whether the request was sent to an engine before; it then goes first like a return
   */
  ticketOf(req: RelayRequest, firstMs: number, wasSent: boolean): AdmissionTicket {
    const customer = customerOf(req);
    return makeTicket(req, {
      expectsReturns: expectsReturns(this.bookings, this.now),
      firstMs,
      id: this.nextId++,
      meanRunMs: this.freed.meanRunMs,
      priority: customer === '' ? null : this.options.priorityOf(customer),
      wasSent,
    });
  }

  /**
   * Whether a request may try to get a slot without waiting. While the load is unknown, requests that are not late are
   * sent whatever waits, so all may try.
   *
   * @param service the service
   * @param ticket the request
   */
  mayTry(service: string, ticket: AdmissionTicket): boolean {
    const queue = this.queues.get(service);
    return (
      queue === undefined ||
      !this.options.online.hasCurrentReport ||
      this.now >= ticket.limitAt ||
      queue.ahead(ticket) === 0
    );
  }

  /**
   * Decides whether a request that can't be sent now is rejected; undefined if it waits.
   *
   * @param service the service
   * @param ticket the request
   */
  rejection(service: string, ticket: AdmissionTicket): AdmissionRejection | undefined {
    const {deadlineAt, isRetry, limitAt, objectiveAt, objectiveMs} = ticket;
    const {now} = this;
    const input = this.waitInput(service, ticket);
    // Right after a loss of many VMs nothing is known of the load, and a rejection couldn't say when to return.
    const isKnown = this.options.online.hasReceivedReport;
    const expectedMs = isKnown ? expectedWaitMs(input) : null;
    this.lastExpectedMs = expectedMs ?? 0;
    const planned = this.planReturn(input, deadlineAt - now);
    const reason = rejectNow({
      expectedMs,
      isReturn: isRetry,
      leastMs: isKnown ? expectedWaitMs({...input, returnsPerSecond: 0}) : null,
      limitMs: limitAt - now,
      objectiveMs,
      returnMs: planned.hasRoom ? planned.returnMs : null,
      slackMs: objectiveAt - now,
      waitedMs: now - ticket.arrivedAt,
    });
    return reason === undefined ? undefined : this.reject(ticket, reason, input, planned);
  }

  /**
   * Waits until the request may try to get a slot; ends with a rejection if it must not wait any longer.
   *
   * @param service the service
   * @param ticket the request
   */
  async wait(service: string, ticket: AdmissionTicket): Promise<AdmissionRejection | undefined> {
    const queue = this.queueOf(service);
    const ended = queue.wait(ticket);
    this.scheduleFor([ticket]);
    const end = await ended;
    switch (end.kind) {
      case 'dropped': {
        const input = this.waitInput(service, ticket);
        const planned = this.planReturn(input, ticket.deadlineAt - this.now);
        return this.reject(ticket, 'full', input, planned);
      }
      case 'rejected':
        return end.rejection;
      case 'left':
      case 'turn':
        return undefined;
    }
  }

  /**
   * Retry-After for a request that is refused for another reason than the queue, in milliseconds.
   *
   * @param service the service
   * @param ticket the request
   */
  retryAfterMs(service: string, ticket: AdmissionTicket): number {
    const planned = this.planReturn(this.waitInput(service, ticket), ticket.deadlineAt - this.now);
    this.bookings = bookReturn(this.bookings, planned, this.now);
    return planned.returnMs;
  }

  /**
   * Records that a request is sent or has ended. Must be called for every request that tries to get a slot.
   *
   * @param service the service
   * @param ticket the request
   * @param end how its wait ended, undefined if it didn't wait
   */
  leave(service: string, ticket: AdmissionTicket, end: 'left' | 'sent' | undefined): void {
    if (end !== undefined) {
      const input = this.waitInput(service, ticket);
      this.options.decide('waited', ticket.requestId, {end, ...this.fieldsOf(ticket, input)});
    }
    this.queues.get(service)?.remove(ticket.id);
  }

  /**
   * Records that an engine has ended a request, and wakes the next one.
   *
   * @param service the service
   * @param runMs time for which the request ran, in milliseconds
   */
  noteFreed(service: string, runMs: number): void {
    this.freed.record(runMs);
    this.queues.get(service)?.wakeNext();
  }

  /** Wakes the first request of each queue, after a change of the engines or of what is known of them. */
  wake(): void {
    this.wokenAt = this.now;
    this.queues.forEach((queue) => queue.wakeNext());
  }

  private get now(): MonotonicMs {
    return this.options.clock.monotonicMs();
  }

  private orderState(): OrderState {
    return {isAboveShare: this.options.aboveShare(), now: this.now};
  }

  private queueOf(service: string): RelayQueue {
    const known = this.queues.get(service) ?? new RelayQueue(() => this.orderState());
    this.queues.set(service, known);
    return known;
  }

  private waitInput(service: string, ticket: AdmissionTicket): WaitInput {
    const queue = this.queues.get(service);
    return {
      ahead: queue?.ahead(ticket) ?? 0,
      freedPerSecond: this.freed.perSecond,
      returnsPerSecond: ticket.isReturn ? 0 : returnsPerSecond(this.bookings, this.now),
      room: this.options.fleetLoad.room,
      waitingHere: queue?.length ?? 0,
    };
  }

  private planReturn(input: WaitInput, remainingMs: number): Return {
    const {fleetLoad, random} = this.options;
    return planReturn({
      ...input,
      bookings: this.bookings,
      now: this.now,
      offset: random(),
      remainingMs,
      roomAgeMs: fleetLoad.ageMs,
    });
  }

  private reject(
    ticket: AdmissionTicket,
    reason: AdmissionRejection['reason'],
    input: WaitInput,
    planned: Return,
  ): AdmissionRejection {
    this.bookings = bookReturn(this.bookings, planned, this.now);
    const retryAfterMs = planned.returnMs;
    this.options.decide('rejected', ticket.requestId, {
      hasRoom: planned.hasRoom,
      reason,
      retryAfterMs,
      ...this.fieldsOf(ticket, input),
    });
    return {reason, retryAfterMs};
  }

  private fieldsOf(ticket: AdmissionTicket, input: WaitInput): LogFields {
    return ticketFields(ticket, input, this.options.fleetLoad.ageMs, this.now);
  }

  /** Wakes requests after an answer of the dispatcher; answers that follow each other closely wake once. */
  private onReport(): void {
    if (this.length === 0) {
      return;
    }
    const earliest = this.wokenAt + MIN_REPORT_WAKE_MS;
    if (this.now >= earliest) {
      this.wake();
    } else {
      this.schedule(earliest);
    }
  }

  /** Ends the waits that are over, reviews requests while they may be rejected early, and wakes the next ones. */
  private check(): void {
    const {now} = this;
    for (const [service, queue] of this.queues) {
      for (const ticket of queue.tickets) {
        const end = this.endOf(service, ticket, now);
        if (end !== undefined) {
          queue.take(ticket.id, end);
        }
      }
    }
    this.checkedAt = now;
    this.wake();
  }

  /** How the wait of a request ends now; undefined if it goes on. */
  private endOf(service: string, ticket: AdmissionTicket, now: MonotonicMs): undefined | WaitEnd {
    if (now >= ticket.limitAt) {
      // The request tries once more, now that it may queue at an engine.
      return {kind: 'turn'};
    }
    if (ticket.reviewAt > now || ticket.reviewAt <= this.checkedAt) {
      return undefined;
    }
    const rejection = this.rejection(service, ticket);
    return rejection === undefined ? undefined : {kind: 'rejected', rejection};
  }

  private schedule(at: MonotonicMs): void {
    const {now} = this;
    const dueAt = Math.min(at, now + SAFEGUARD_MS);
    if (dueAt >= this.dueAt) {
      return;
    }
    clearTimeout(this.timer);
    this.dueAt = dueAt;
    this.timer = setTimeout(() => this.onTimer(), Math.max(1, Math.ceil(dueAt - now)));
  }

  private onTimer(): void {
    this.timer = undefined;
    this.dueAt = Infinity;
    this.check();
    this.scheduleFor([...this.queues.values()].flatMap((queue) => queue.tickets));
  }

  private scheduleFor(tickets: readonly AdmissionTicket[]): void {
    if (tickets.length > 0) {
      const {now} = this;
      const times = tickets.flatMap(({limitAt, reviewAt}) => [limitAt, reviewAt]);
      this.schedule(Math.min(...times.filter((at) => at > now)));
    }
  }
}
