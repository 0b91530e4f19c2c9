/**
 * Place of one request in the order in which requests get engine slots.
 */
import type {MonotonicMs} from 'stallpaddle';

import {MAX_RETURN_FRACTION, MIN_RETURN_MS} from 'stallpaddle-admission';

import type {AdmissionRejection} from './RelayQueue';
import type {AdmissionTicket} from './RelayTicket';
import type {RelayContext, RelayRequest} from './RelayTypes';

import {RETRY_AFTER_MS} from './RelayConstants';
import {selectService} from './RelayPlacement';

/** Messages of rejections. */
export const REJECTION_MESSAGES: Readonly<Record<AdmissionRejection['reason'], string>> = {
  full: 'Too many requests wait for the service.',
  objective: 'All engines of the service are full; a retry after the given time is served sooner.',
  time: 'All engines of the service are full.',
};

/** What the place of a request depends on. */
export type TurnContext = Pick<
  RelayContext,
  'admission' | 'clock' | 'latencies' | 'online' | 'random'
>;

/** Connects one request to the admission of its VM. */
export class RelayTurn {
  /** Whether the admission has woken the request since it last waited. */
  private hasTurn = false;
  private hasWaited = false;
  private sentAt: MonotonicMs | undefined;
  private selected: string | undefined;
  private ticket: AdmissionTicket;
  private wasSent = false;

  /**
   * @param context dependencies of the relay
   * @param req the request
   */
  constructor(
    private readonly context: TurnContext,
    private readonly req: RelayRequest,
  ) {
    this.ticket = this.makeTicket();
  }

  /** Service whose queue the request belongs to. */
  get service(): string {
    this.selected ??= selectService(this.req.route, this.context.random) ?? '';
    return this.selected;
  }

  /**
   * Whether the request may queue at an engine although it is late. A return goes first, so it must not be overtaken by
   * requests that may queue because they are not late; while the load is unknown the engines' queues are too.
   */
  get mayQueue(): boolean {
    return this.ticket.isReturn && this.context.online.hasCurrentReport;
  }

  /** Whether the caller has been rejected before, and would not come back after another rejection. */
  get isCallersReturn(): boolean {
    return this.req.spentMs >= MIN_RETURN_MS;
  }

  /** Whether the request may try to get a slot now. */
  get mayTry(): boolean {
    return this.hasTurn || this.context.admission.mayTry(this.service, this.ticket);
  }

  /** Retry-After for a request that is refused for another reason than the queue, in milliseconds. */
  get retryAfterMs(): number {
    const {admission, clock} = this.context;
    const {deadlineAt} = this.ticket;
    const maxMs = Math.max(0, deadlineAt - clock.monotonicMs()) * MAX_RETURN_FRACTION;
    // An engine that can't be reached needs time to recover, whether slots are free or not.
    const leastMs = Math.floor(Math.min(RETRY_AFTER_MS, maxMs));
    return Math.max(leastMs, admission.retryAfterMs(this.service, this.ticket));
  }

  /**
   * Waits for the request's turn.
   *
   * @returns the rejection if the request must not wait
   */
  async wait(): Promise<AdmissionRejection | undefined> {
    const {admission} = this.context;
    const {service, ticket} = this;
    const isFirstWait = !this.hasWaited;
    const isOver = this.context.clock.monotonicMs() >= ticket.limitAt;
    const rejection = isFirstWait || isOver ? admission.rejection(service, ticket) : undefined;
    if (rejection !== undefined) {
      this.hasWaited = false;
      return rejection;
    }
    this.hasTurn = false;
    this.hasWaited = true;
    const end = await admission.wait(service, ticket);
    this.hasTurn = end === undefined;
    // A rejection is logged as such, not as the end of a wait.
    this.hasWaited &&= end === undefined;
    return end;
  }

  /** Records that the request is sent to an engine. */
  noteSent(): void {
    this.leave('sent');
    this.sentAt = this.context.clock.monotonicMs();
    if (!this.wasSent) {
      this.wasSent = true;
      this.ticket = this.makeTicket();
    }
  }

  /**
   * Records that the request no longer occupies the engine that it was sent to.
   *
   * @param wasRun whether the engine took it
   * @param wasAbandoned whether its caller left or its time ended first
   */
  noteFreed(wasRun: boolean, wasAbandoned: boolean): void {
    const {admission, clock} = this.context;
    if (this.sentAt !== undefined && wasRun) {
      admission.noteFreed(this.service, clock.monotonicMs() - this.sentAt);
    } else if (this.sentAt !== undefined && wasAbandoned) {
      // The engine has declined nothing, so the slot that was reserved for the request is free.
      admission.wake();
    }
    this.sentAt = undefined;
  }

  /** Gives up the turn of a request that found no engine at all; the next wait may be for another service. */
  giveUp(): void {
    this.leave('left');
    this.selected = undefined;
  }

  /**
   * Leaves the queue.
   *
   * @param end why
   */
  leave(end: 'left' | 'sent'): void {
    this.context.admission.leave(this.service, this.ticket, this.hasWaited ? end : undefined);
    this.hasTurn = false;
    this.hasWaited = false;
  }

  private makeTicket(): AdmissionTicket {
    const {admission, latencies} = this.context;
    return admission.ticketOf(this.req, latencies.firstEvent.meanMs, this.wasSent);
  }
}
