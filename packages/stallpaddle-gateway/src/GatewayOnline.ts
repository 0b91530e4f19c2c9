/**
 * Carries online requests to engines: limits, queue, placement, retries.
 */
import type {EngineId, Verdict} from 'stallpaddle';
import type {ResolvedModel} from 'stallpaddle-control';
import type {BackendAnswer} from 'stallpaddle-engine';
import type {EngineOutcome, RetryBudget} from 'stallpaddle-routing';

import {
  errorMessage,
  generateId,
  joinVerdicts,
  RefusalError,
  refuse,
  startDeadline,
} from 'stallpaddle';
import {BackendError, readBody} from 'stallpaddle-engine';
import {LimitShare} from 'stallpaddle-limits';
import {activeVms} from 'stallpaddle-membership';
import {countRequest, FULL_RETRY_BUDGET, placeOnline, takeRetry} from 'stallpaddle-routing';

import type {CustomerCaller} from './GatewayAuth';
import type {GatewayContext} from './GatewayContext';

import {GatewayQueue} from './GatewayQueue';

/** An online request, ready to be placed. */
export interface OnlineRequest {
  readonly affinity: string;
  readonly body: Uint8Array;
  readonly caller: CustomerCaller;
  readonly model: ResolvedModel;
  readonly path: string;
  readonly repeatable: boolean;
}

/** An engine's answer, counted until it has ended. */
export interface OnlineAnswer extends BackendAnswer {
  readonly attemptId: string;
  readonly engine: EngineId;
  /**
   * Must be called once, when the body has ended or was given up.
   *
   * @param outcome how it ended
   * @param tokenMs measured time between tokens, in milliseconds; 0 when unknown
   */
  readonly ended: (outcome: EngineOutcome, tokenMs: number) => void;
}

/** An answer that has arrived whole. */
export interface WholeAnswer {
  readonly body: Uint8Array;
  readonly contentType: string;
  readonly status: number;
}

const MAX_ANSWER_BYTES = 33_554_432;

/**
 * Runs of one request whose ends are unknown, at most: an engine may have ended by it, and one that ends two would most likely
 * end a third. One repetition is what a cause outside of the request needs.
 */
const MOST_UNKNOWN_ENDS = 2;
/** Time in whose requests a customer's burst is counted, in seconds. */
const BURST_SECONDS = 2;

function isUnknownEnd(err: unknown): boolean {
  return err instanceof BackendError && err.verdict === 'mayHaveRun';
}

/** Online requests of one VM. */
export class GatewayOnline {
  private budget: RetryBudget = FULL_RETRY_BUDGET;
  private readonly queue: GatewayQueue;
  private readonly share = new LimitShare();

  /**
   * @param context the VM
   */
  constructor(private readonly context: GatewayContext) {
    this.queue = new GatewayQueue(context);
  }

  /** Requests that wait here. */
  get waiting(): number {
    return this.queue.length;
  }

  /**
   * Takes one request off a customer's limit. Each VM grants its part of the whole rate.
   *
   * @param caller the customer
   */
  admit({customer, record}: CustomerCaller): void {
    if (record.requestsPerSecond === null) {
      return;
    }
    const now = this.context.clock.monotonicMs();
    const vms = Math.max(1, activeVms(this.context.membership(), now).length);
    const ratePerSecond = record.requestsPerSecond;
    const limit = {burst: ratePerSecond * BURST_SECONDS, customer, ratePerSecond};
    const answer = this.share.ask(limit, vms, now);
    if (answer.kind === 'over') {
      throw refuse('rateLimited', `customer ${customer} is over its limit`, {
        retryAfterMs: answer.retryAfterMs,
      });
    }
  }

  /**
   * Sends a request to an engine and returns once the head of an answer is there.
   *
   * @param req the request
   * @param signal ends it when the caller has gone
   * @throws {RefusalError} when no engine answers
   */
  send(req: OnlineRequest, signal: AbortSignal): Promise<OnlineAnswer> {
    return this.sendAnd(req, signal, (answer) => Promise.resolve(answer));
  }

  /**
   * Sends a request to an engine and returns the whole answer. One that breaks off is asked for
   * again where the request may be repeated: none of it has reached the caller.
   *
   * @param req the request
   * @param signal ends it when the caller has gone
   * @throws {RefusalError} when no engine answers
   */
  sendWhole(req: OnlineRequest, signal: AbortSignal): Promise<WholeAnswer> {
    return this.sendAnd(req, signal, async (answer) => {
      try {
        const body = await readBody(answer.body, MAX_ANSWER_BYTES);
        answer.ended('succeeded', 0);
        return {body, contentType: answer.contentType, status: answer.status};
      } catch (err) {
        answer.ended(signal.aborted ? 'cancelled' : 'failed', 0);
        throw err;
      }
    });
  }

  private async sendAnd<Result>(
    req: OnlineRequest,
    signal: AbortSignal,
    take: (answer: OnlineAnswer) => Promise<Result>,
  ): Promise<Result> {
    const deadlineAt = this.context.clock.monotonicMs() + this.context.limits.requestMs;
    const excluded: EngineId[] = [];
    let unknownEnds = 0;
    let verdict: Verdict = 'notRun';
    this.budget = countRequest(this.budget);
    try {
      for (;;) {
        const engine = await this.place(req, excluded, deadlineAt, signal);
        try {
          return await take(await this.attempt(req, engine, deadlineAt, signal));
        } catch (err) {
          unknownEnds += isUnknownEnd(err) ? 1 : 0;
          const failure = this.retryOrThrow(req, err, unknownEnds, signal);
          verdict = joinVerdicts(verdict, failure.verdict);
          excluded.push(engine);
        }
      }
    } catch (err) {
      // The last attempt alone says nothing of those before it.
      throw err instanceof RefusalError ? err.after(verdict) : err;
    }
  }

  /** Returns the failure when another attempt may be made; else ends the request. */
  private retryOrThrow(
    req: OnlineRequest,
    err: unknown,
    unknownEnds: number,
    signal: AbortSignal,
  ): BackendError {
    if (!(err instanceof BackendError)) {
      throw err;
    }
    const mayRepeat =
      err.verdict === 'notRun' || (req.repeatable && unknownEnds < MOST_UNKNOWN_ENDS);
    const next = mayRepeat && !signal.aborted ? takeRetry(this.budget) : undefined;
    if (next === undefined) {
      const {retryAfterMs = 1000} = err;
      const code = err.verdict === 'notRun' ? 'unavailable' : 'engineFailed';
      throw new RefusalError(code, err.verdict, errorMessage(err), {retryAfterMs});
    }
    this.budget = next;
    this.context.metrics.countRetry();
    return err;
  }

  private async place(
    req: OnlineRequest,
    excluded: readonly EngineId[],
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<EngineId> {
    const {clock, metrics, random, routing, zone} = this.context;
    const since = clock.monotonicMs();
    const {customer, record} = req.caller;
    for (;;) {
      const request = {
        affinity: req.affinity,
        customer,
        excluded,
        serving: req.model.engines,
        weights: req.model.weights,
        zone,
      };
      const placement = placeOnline(routing(), request, clock.monotonicMs(), random);
      switch (placement.kind) {
        case 'engine':
          metrics.recordQueueWait(clock.monotonicMs() - since);
          return placement.engine;
        case 'full':
          await this.queue.wait(customer, record.weight, deadlineAt, signal);
          break;
        case 'noEngine':
          throw refuse('unavailable', `no engine answers for ${req.model.service} now`, {
            retryAfterMs: placement.retryAfterMs,
          });
      }
    }
  }

  private async attempt(
    req: OnlineRequest,
    engine: EngineId,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<OnlineAnswer> {
    const {adapterOf, clock, lanes, onRouting, routing} = this.context;
    const adapter = adapterOf(engine);
    const slots = routing().engines.get(engine)?.setup.slots;
    if (adapter === undefined || slots === undefined) {
      throw new BackendError('notRun', `engine ${engine} is not known here`);
    }
    const attemptId = generateId('req');
    const timeoutMs = deadlineAt - clock.monotonicMs();
    const deadline = startDeadline(timeoutMs, signal);
    onRouting({engine, kind: 'started', work: 'online'});
    const ended = (outcome: EngineOutcome, tokenMs: number): void => {
      deadline.dispose();
      onRouting({engine, kind: 'ended', outcome, tokenMs, work: 'online'});
      this.queue.wake();
    };
    try {
      const answer = await lanes.run(engine, slots * 2, 'online', () =>
        adapter.generate(
          {
            attemptId,
            body: req.body,
            contentType: 'application/json',
            method: 'POST',
            path: req.path,
            repeatable: req.repeatable,
            timeoutMs,
            work: 'online',
          },
          deadline.signal,
        ),
      );
      if (answer.status >= 500) {
        throw new BackendError('mayHaveRun', `the engine answered with ${answer.status}`);
      }
      return {...answer, attemptId, ended, engine};
    } catch (err) {
      const busy =
        err instanceof BackendError && err.verdict === 'notRun' && err.retryAfterMs !== undefined;
      ended(signal.aborted || busy ? 'cancelled' : 'failed', 0);
      throw err;
    }
  }
}
