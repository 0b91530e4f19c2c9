/**
 * Bounded queue of online requests that shares fairly between customers. Pure.
 */
import type {CustomerId, MonotonicMs} from 'stallpaddle';

/** A request that waits. */
export interface QueuedRequest {
  readonly customer: CustomerId;
  readonly deadlineAt: MonotonicMs;
  readonly id: number;
  readonly since: MonotonicMs;
  readonly weight: number;
}

/** A queue with the service that each waiting customer has had. */
export interface FairQueue {
  readonly requests: readonly QueuedRequest[];
  /** Requests served divided by weight, for customers with requests in the queue. */
  readonly served: ReadonlyMap<CustomerId, number>;
}

/** A queue in which nobody waits. */
export const EMPTY_QUEUE: FairQueue = {requests: [], served: new Map()};

/** Outcome of joining. */
export type EnqueueResult =
  | {readonly kind: 'full'; readonly victim: QueuedRequest; readonly queue: FairQueue}
  | {readonly kind: 'joined'; readonly queue: FairQueue}
  | {readonly kind: 'refused'};

function waitingOf(queue: FairQueue, customer: CustomerId): number {
  return queue.requests.filter((req) => req.customer === customer).length;
}

function withRequest(queue: FairQueue, req: QueuedRequest): FairQueue {
  // A customer that comes anew starts level with the least served, not with old credit.
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
 * Adds a request. In a full queue the customer with the most requests by weight gives up its newest
 * one, so that one customer's flood never shuts the others out.
 *
 * @param queue present queue
 * @param req the request
 * @param capacity most requests that may wait
 */
export function enqueue(queue: FairQueue, req: QueuedRequest, capacity: number): EnqueueResult {
  if (queue.requests.length < capacity) {
    return {kind: 'joined', queue: withRequest(queue, req)};
  }
  const share = (customer: CustomerId, weight: number): number =>
    waitingOf(queue, customer) / weight;
  const heaviest = queue.requests.reduce<QueuedRequest | undefined>((most, other) => {
    const isHeavier =
      most === undefined ||
      share(other.customer, other.weight) >= share(most.customer, most.weight);
    return isHeavier ? other : most;
  }, undefined);
  const own = (waitingOf(queue, req.customer) + 1) / req.weight;
  if (heaviest === undefined || share(heaviest.customer, heaviest.weight) <= own) {
    return {kind: 'refused'};
  }
  return {
    kind: 'full',
    queue: withRequest(withoutRequest(queue, heaviest.id), req),
    victim: heaviest,
  };
}

/**
 * Takes out the next request: of the customer served least, the one that came first.
 *
 * @param queue present queue
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
 * Takes out a request that gave up.
 *
 * @param queue present queue
 * @param id the request
 */
export function removeFromQueue(queue: FairQueue, id: number): FairQueue {
  return withoutRequest(queue, id);
}
