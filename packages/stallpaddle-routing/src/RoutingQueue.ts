/**
 * Bounded queue of online requests with weighted fair sharing between customers. All functions are pure.
 */
import type {CustomerId, MonotonicMs} from 'stallpaddle';

/** A waiting request. */
export interface QueuedRequest {
  readonly customer: CustomerId;
  readonly deadlineAt: MonotonicMs;
  readonly id: number;
  readonly since: MonotonicMs;
  readonly weight: number;
}

/** Waiting requests, and the service that their customers have received. */
export interface FairQueue {
  readonly requests: readonly QueuedRequest[];
  /** Requests served divided by weight, for customers with requests in the queue. */
  readonly served: ReadonlyMap<CustomerId, number>;
}

/** A queue without requests. */
export const EMPTY_QUEUE: FairQueue = {requests: [], served: new Map()};

/** Outcome of adding a request; `full` names the waiting request that was dropped for it. */
export type EnqueueResult =
  | {readonly kind: 'full'; readonly victim: QueuedRequest; readonly queue: FairQueue}
  | {readonly kind: 'joined'; readonly queue: FairQueue}
  | {readonly kind: 'refused'};

function waitingCount(queue: FairQueue, customer: CustomerId): number {
  return queue.requests.filter((req) => req.customer === customer).length;
}

function withRequest(queue: FairQueue, req: QueuedRequest): FairQueue {
  // A customer without waiting requests starts at the lowest count, so that it gains no credit for its idle time.
  const least = queue.served.size === 0 ? 0 : Math.min(...queue.served.values());
  const served = new Map(queue.served);
  served.set(req.customer, Math.max(served.get(req.customer) ?? least, least));
  return {requests: [...queue.requests, req], served};
}

function withoutRequest(queue: FairQueue, id: number): FairQueue {
  const requests = queue.requests.filter((req) => req.id !== id);
  const waiting = new Set(requests.map((req) => req.customer));
  const served = new Map([...queue.served].filter(([customer]) => waiting.has(customer)));
  return {requests, served};
}

/**
 * Adds a request. When the queue is full, the customer with the most requests by weight loses its newest one, so that
 * no customer can block the others by filling the queue. The request is refused when its own customer would have at
 * least as many.
 *
 * @param queue current queue
 * @param req the request
 * @param capacity maximum number of waiting requests
 */
export function enqueue(queue: FairQueue, req: QueuedRequest, capacity: number): EnqueueResult {
  if (queue.requests.length < capacity) {
    return {kind: 'joined', queue: withRequest(queue, req)};
  }
  const weightedCount = (customer: CustomerId, weight: number): number =>
    waitingCount(queue, customer) / weight;
  const heaviest = queue.requests.reduce<QueuedRequest | undefined>((most, other) => {
    const isHeavier =
      most === undefined ||
      weightedCount(other.customer, other.weight) >= weightedCount(most.customer, most.weight);
    return isHeavier ? other : most;
  }, undefined);
  const own = (waitingCount(queue, req.customer) + 1) / req.weight;
  if (heaviest === undefined || weightedCount(heaviest.customer, heaviest.weight) <= own) {
    return {kind: 'refused'};
  }
  return {
    kind: 'full',
    queue: withRequest(withoutRequest(queue, heaviest.id), req),
    victim: heaviest,
  };
}

/**
 * Removes and returns the oldest request of the least served customer.
 *
 * @param queue current queue
 */
export function dequeue(
  queue: FairQueue,
): {readonly queue: FairQueue; readonly req: QueuedRequest} | undefined {
  const [first] = queue.requests;
  if (first === undefined) {
    return undefined;
  }
  const servedOf = (req: QueuedRequest): number => queue.served.get(req.customer) ?? 0;
  const next = queue.requests.reduce(
    (best, req) => (servedOf(req) < servedOf(best) ? req : best),
    first,
  );
  const served = new Map(queue.served).set(next.customer, servedOf(next) + 1 / next.weight);
  return {queue: withoutRequest({...queue, served}, next.id), req: next};
}

/**
 * Removes a request that no longer waits.
 *
 * @param queue current queue
 * @param id the request's id
 */
export function removeFromQueue(queue: FairQueue, id: number): FairQueue {
  return withoutRequest(queue, id);
}
