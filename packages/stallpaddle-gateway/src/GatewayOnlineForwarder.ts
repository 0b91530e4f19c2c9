/**
 * Forwarding of online requests to engines: rate limits, queueing, placement and retries.
 */
import type {EngineId, Verdict} from 'stallpaddle';
import type {ResolvedModel} from 'stallpaddle-control';
import type {BackendResponse} from 'stallpaddle-engine';
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

/** A validated online request that can be sent to an engine. */
export interface OnlineRequest {
  readonly affinity: string;
  readonly body: Uint8Array;
  readonly caller: CustomerCaller;
  readonly model: ResolvedModel;
  readonly path: string;
  readonly repeatable: boolean;
}

/** An engine's response. The request counts as running on the engine until `finish` is called. */
export interface OnlineResponse extends BackendResponse {
  readonly attemptId: string;
  readonly engine: EngineId;
  /**
   * Must be called exactly once, when the body has been read or abandoned.
   *
   * @param outcome result of the attempt
   * @param tokenMs mean time between tokens, in milliseconds; 0 if unknown
   */
  readonly finish: (outcome: EngineOutcome, tokenMs: number) => void;
}

/** A response whose body has been read completely. */
export interface BufferedResponse {
  readonly body: Uint8Array;
  readonly contentType: string;
  readonly status: number;
}

const MAX_RESPONSE_BYTES = 33_554_432;

/**
 * Most attempts of one request with an unknown outcome. A request that crashes engines must not reach a third one; one
 * retry is enough after a failure that the request did not cause.
 */
const MAX_UNKNOWN_OUTCOMES = 2;
/** Size of a customer's burst, in seconds of its request rate. */
const BURST_SECONDS = 2;

function isUnknownOutcome(err: unknown): boolean {
  return err instanceof BackendError && err.verdict === 'mayHaveRun';
}

/** Forwards a VM's online requests to engines, enforces customers' rate limits and retries failed attempts. */
export class GatewayOnlineForwarder {
  private budget: RetryBudget = FULL_RETRY_BUDGET;
  private readonly queue: GatewayQueue;
  private readonly share = new LimitShare();

  /**
   * @param context state and services of the VM
   */
  constructor(private readonly context: GatewayContext) {
    this.queue = new GatewayQueue(context);
  }

  /** Number of requests that wait for a free engine slot. */
  get waiting(): number {
    return this.queue.length;
  }

  /**
   * Charges one request to a customer's rate limit. Each VM grants an equal share of the rate.
   *
   * @param caller the customer
   * @throws {RefusalError} `rateLimited` when the customer has used up the share
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
      throw refuse('rateLimited', `customer ${customer} has exceeded its rate limit`, {
        retryAfterMs: answer.retryAfterMs,
      });
    }
  }

  /**
   * Sends a request to an engine and returns when the head of the response has arrived.
   *
   * @param req the request
   * @param signal aborted when the caller disconnects
   * @throws {RefusalError} when no engine responds
   */
  send(req: OnlineRequest, signal: AbortSignal): Promise<OnlineResponse> {
    return this.sendWithRetries(req, signal, (response) => Promise.resolve(response));
  }

  /**
   * Sends a request to an engine and buffers the whole response. An interrupted response is retried if the request is
   * repeatable, as none of it has reached the caller.
   *
   * @param req the request
   * @param signal aborted when the caller disconnects
   * @throws {RefusalError} when no engine responds
   */
  sendBuffered(req: OnlineRequest, signal: AbortSignal): Promise<BufferedResponse> {
    return this.sendWithRetries(req, signal, async (response) => {
      try {
        const body = await readBody(response.body, MAX_RESPONSE_BYTES);
        response.finish('succeeded', 0);
        return {body, contentType: response.contentType, status: response.status};
      } catch (err) {
        response.finish(signal.aborted ? 'cancelled' : 'failed', 0);
        throw err;
      }
    });
  }

  private async sendWithRetries<Result>(
    req: OnlineRequest,
    signal: AbortSignal,
    consume: (response: OnlineResponse) => Promise<Result>,
  ): Promise<Result> {
    const deadlineAt = this.context.clock.monotonicMs() + this.context.limits.requestMs;
    const excluded: EngineId[] = [];
    let unknownOutcomes = 0;
    let verdict: Verdict = 'notRun';
    this.budget = countRequest(this.budget);
    try {
      for (;;) {
        const engine = await this.place(req, excluded, deadlineAt, signal);
        try {
          return await consume(await this.attempt(req, engine, deadlineAt, signal));
        } catch (err) {
          unknownOutcomes += isUnknownOutcome(err) ? 1 : 0;
          const failure = this.retryOrThrow(req, err, unknownOutcomes, signal);
          verdict = joinVerdicts(verdict, failure.verdict);
          excluded.push(engine);
        }
      }
    } catch (err) {
      // An earlier attempt may have run even if the last one did not.
      throw err instanceof RefusalError ? err.after(verdict) : err;
    }
  }

  /** Returns the failure if the request may be retried, else throws the refusal for the caller. */
  private retryOrThrow(
    req: OnlineRequest,
    err: unknown,
    unknownOutcomes: number,
    signal: AbortSignal,
  ): BackendError {
    if (!(err instanceof BackendError)) {
      throw err;
    }
    const mayRetry =
      err.verdict === 'notRun' || (req.repeatable && unknownOutcomes < MAX_UNKNOWN_OUTCOMES);
    const nextBudget = mayRetry && !signal.aborted ? takeRetry(this.budget) : undefined;
    if (nextBudget === undefined) {
      const {retryAfterMs = 1000} = err;
      const code = err.verdict === 'notRun' ? 'unavailable' : 'engineFailed';
      throw new RefusalError(code, err.verdict, errorMessage(err), {retryAfterMs});
    }
    this.budget = nextBudget;
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
          throw refuse('unavailable', `no engine is available for ${req.model.service}`, {
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
  ): Promise<OnlineResponse> {
    const {adapterOf, clock, lanes, onRouting, routing} = this.context;
    const adapter = adapterOf(engine);
    const slots = routing().engines.get(engine)?.setup.slots;
    if (adapter === undefined || slots === undefined) {
      throw new BackendError('notRun', `engine ${engine} is unknown`);
    }
    const attemptId = generateId('req');
    const timeoutMs = deadlineAt - clock.monotonicMs();
    const deadline = startDeadline(timeoutMs, signal);
    onRouting({engine, kind: 'started', work: 'online'});
    const finish = (outcome: EngineOutcome, tokenMs: number): void => {
      deadline.dispose();
      onRouting({engine, kind: 'ended', outcome, tokenMs, work: 'online'});
      this.queue.wake();
    };
    try {
      const response = await lanes.run(engine, slots * 2, 'online', () =>
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
      if (response.status >= 500) {
        throw new BackendError('mayHaveRun', `the engine responded with status ${response.status}`);
      }
      return {...response, attemptId, engine, finish};
    } catch (err) {
      const busy =
        err instanceof BackendError && err.verdict === 'notRun' && err.retryAfterMs !== undefined;
      finish(signal.aborted || busy ? 'cancelled' : 'failed', 0);
      throw err;
    }
  }
}
