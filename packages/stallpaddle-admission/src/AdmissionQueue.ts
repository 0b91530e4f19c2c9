/**
 * Bounded queue of online requests that wait for an engine slot, and the order in which they get one.
 */
import type {CustomerId, MonotonicMs} from 'stallpaddle';

/** A waiting request. */
export interface WaitingRequest {
  readonly arrivedAt: MonotonicMs;
  /** Empty for callers without a customer. */
  readonly customer: CustomerId;
  readonly id: number;
  /** Whether the caller has tried before; such a request goes before new ones. */
  readonly isReturn: boolean;
  /** Latest time at which the request must be sent to meet its objective; -Infinity without an objective. */
  readonly objectiveAt: MonotonicMs;
  /** Priority, 0 being the highest. */
  readonly rank: number;
  /** Weight of the customer where customers take turns; null where they don't. */
  readonly weight: null | number;
}

/** Waiting requests, and what the order needs of those that have left. */
export interface AdmissionQueue {
  /** Number of requests taken from the queue for good. */
  readonly releases: number;
  readonly requests: readonly WaitingRequest[];
  /** Requests taken divided by weight, for waiting customers that take turns. */
  readonly served: ReadonlyMap<CustomerId, number>;
}

/** What the order depends on beside the requests. */
export interface OrderState {
  /** Whether a customer is above its fair share. */
  readonly isAboveShare: (customer: CustomerId) => boolean;
  readonly now: MonotonicMs;
}

/** State in which no customer is above its share. */
export function withoutShares(now: MonotonicMs): OrderState {
  return {isAboveShare: () => false, now};
}

/**
 * Describes a request whose place depends only on the turns of the customers and its arrival.
 *
 * @param id its id
 * @param customer its customer
 * @param weight the customer's weight
 * @param arrivedAt when it arrived
 */
export function requestInTurn(
  id: number,
  customer: CustomerId,
  weight: number,
  arrivedAt: MonotonicMs,
): WaitingRequest {
  return {arrivedAt, customer, id, isReturn: false, objectiveAt: -Infinity, rank: 0, weight};
}

/** A queue without requests. */
export const EMPTY_QUEUE: AdmissionQueue = {releases: 0, requests: [], served: new Map()};

/** Maximum number of requests that a VM holds for one service. */
export const MAX_WAITING = 512;

/**
 * Every n-th request that is taken comes from a rank below the highest waiting one. Without this, sustained load of the
 * highest rank would starve the others; no customer may be served less than a quarter as often as all.
 */
const LOWER_RANK_TURN = 4;

/** Outcome of adding a request; `full` names the waiting request that was dropped for it. */
export type EnqueueResult =
  | {readonly kind: 'full'; readonly queue: AdmissionQueue; readonly victim: WaitingRequest}
  | {readonly kind: 'joined'; readonly queue: AdmissionQueue}
  | {readonly kind: 'refused'};

type Compare = (a: WaitingRequest, b: WaitingRequest) => number;

/** Position of each request among the turns of the customers; undefined where customers take no turns. */
function turnsOf({requests, served}: AdmissionQueue): ReadonlyMap<number, number> | undefined {
  if (served.size === 0) {
    return undefined;
  }
  const waiting = new Map<CustomerId, number>();
  return new Map(
    requests.map(({customer, id, weight}) => {
      const before = waiting.get(customer) ?? 0;
      waiting.set(customer, before + 1);
      return [id, (served.get(customer) ?? 0) + before / (weight ?? Infinity)];
    }),
  );
}

/** Requests that can still meet their objective come first, by least slack; the others follow by arrival. */
function compareObjectives(a: WaitingRequest, b: WaitingRequest, now: MonotonicMs): number {
  const isOnTimeA = a.objectiveAt >= now;
  const isOnTimeB = b.objectiveAt >= now;
  if (isOnTimeA && isOnTimeB && a.objectiveAt !== b.objectiveAt) {
    return a.objectiveAt - b.objectiveAt;
  }
  return Number(isOnTimeB) - Number(isOnTimeA) || a.arrivedAt - b.arrivedAt || a.id - b.id;
}

/**
 * Time from which a waiting request goes first like a return, in milliseconds: half of the two seconds after which callers
 * give up.
 */
const OVERDUE_MS = 1_000;

/**
 * The order: rank, fair share, requests that return or have waited long, turns of the customers, objective, arrival. The
 * fair share comes before the returns, since a customer above its share has most of the rejected requests.
 */
function makeCompare(queue: AdmissionQueue, {isAboveShare, now}: OrderState): Compare {
  const turns = turnsOf(queue);
  const turnOf = ({id}: WaitingRequest): number => turns?.get(id) ?? 0;
  const isFirst = ({arrivedAt, isReturn}: WaitingRequest): boolean =>
    isReturn || now - arrivedAt >= OVERDUE_MS;
  return (a, b) =>
    a.rank - b.rank ||
    Number(isAboveShare(a.customer)) - Number(isAboveShare(b.customer)) ||
    Number(isFirst(b)) - Number(isFirst(a)) ||
    turnOf(a) - turnOf(b) ||
    compareObjectives(a, b, now);
}

function firstOf(
  requests: readonly WaitingRequest[],
  compare: Compare,
): undefined | WaitingRequest {
  return requests.reduce<undefined | WaitingRequest>(
    (best, other) => (best === undefined || compare(other, best) < 0 ? other : best),
    undefined,
  );
}

function withRequest(
  {releases, requests, served}: AdmissionQueue,
  req: WaitingRequest,
): AdmissionQueue {
  if (req.weight === null) {
    return {releases, requests: [...requests, req], served};
  }
  // A customer without waiting requests starts at the lowest count, so that it gains no credit for its idle time.
  const least = served.size === 0 ? 0 : Math.min(...served.values());
  const count = Math.max(served.get(req.customer) ?? least, least);
  return {
    releases,
    requests: [...requests, req],
    served: new Map(served).set(req.customer, count),
  };
}

/**
 * Removes a request that no longer waits.
 *
 * @param queue current queue
 * @param id the request's id
 */
export function removeFromQueue(queue: AdmissionQueue, id: number): AdmissionQueue {
  const requests = queue.requests.filter((req) => req.id !== id);
  if (queue.served.size === 0) {
    return {...queue, requests};
  }
  const waiting = new Set(requests.map(({customer}) => customer));
  const served = new Map([...queue.served].filter(([customer]) => waiting.has(customer)));
  return {...queue, requests, served};
}

/**
 * Adds a request. When the queue is full, the request that is last in order is dropped, which may be the new one.
 *
 * @param queue current queue
 * @param req the request
 * @param capacity maximum number of waiting requests
 * @param state what the order depends on
 */
export function enqueue(
  queue: AdmissionQueue,
  req: WaitingRequest,
  capacity: number,
  state: OrderState,
): EnqueueResult {
  const joined = withRequest(queue, req);
  if (joined.requests.length <= capacity) {
    return {kind: 'joined', queue: joined};
  }
  const compare = makeCompare(joined, state);
  const last = joined.requests.reduce((worst, other) =>
    compare(other, worst) >= 0 ? other : worst,
  );
  if (last.id === req.id) {
    return {kind: 'refused'};
  }
  return {kind: 'full', queue: removeFromQueue(joined, last.id), victim: last};
}

/**
 * Removes and returns the request whose turn it is.
 *
 * @param queue current queue
 * @param state what the order depends on
 */
export function dequeue(
  queue: AdmissionQueue,
  state: OrderState,
): undefined | {readonly queue: AdmissionQueue; readonly req: WaitingRequest} {
  const compare = makeCompare(queue, state);
  const first = firstOf(queue.requests, compare);
  if (first === undefined) {
    return undefined;
  }
  const releases = queue.releases + 1;
  const isLowerTurn = releases % LOWER_RANK_TURN === 0;
  const lower = isLowerTurn ? queue.requests.filter(({rank}) => rank > first.rank) : [];
  const req = firstOf(lower, compare) ?? first;
  const {customer, id, weight} = req;
  const before = queue.served.get(customer) ?? 0;
  const served =
    weight === null ? queue.served : new Map(queue.served).set(customer, before + 1 / weight);
  return {queue: removeFromQueue({...queue, releases, served}, id), req};
}

/**
 * Puts a request back that was taken but couldn't be sent. It keeps its place in the order, and the removal doesn't
 * count; otherwise a turn of the lower ranks could be spent without sending anything. Only for requests without a
 * weight, since what a customer was served isn't taken back.
 *
 * @param queue current queue
 * @param req the request
 */
export function putBack(queue: AdmissionQueue, req: WaitingRequest): AdmissionQueue {
  const at = queue.requests.findIndex(({arrivedAt}) => arrivedAt > req.arrivedAt);
  const requests = at < 0 ? [...queue.requests, req] : queue.requests.toSpliced(at, 0, req);
  return {...queue, releases: Math.max(0, queue.releases - 1), requests};
}

/**
 * Number of waiting requests that go before a request.
 *
 * @param queue current queue
 * @param req the request, waiting or not
 * @param state what the order depends on
 */
export function requestsAhead(
  queue: AdmissionQueue,
  req: WaitingRequest,
  state: OrderState,
): number {
  const others = queue.requests.filter(({id}) => id !== req.id);
  const compare = makeCompare({...queue, requests: [...others, req]}, state);
  return others.filter((other) => compare(other, req) < 0).length;
}
