/**
 * Measures the processor time of the admission queue.
 */
import {
  type AdmissionQueue,
  dequeue,
  EMPTY_QUEUE,
  enqueue,
  type OrderState,
  putBack,
  requestsAhead,
  type WaitingRequest,
} from 'stallpaddle-admission';

const ROUNDS = 20_000;
const CUSTOMERS = 77;
const RANKS = 3;

/** Processor time of one operation, in microseconds. */
export interface AdmissionCost {
  /** Number of requests that go before another. */
  readonly aheadUs: number;
  /** A request that arrives and one that is sent. */
  readonly replaceUs: number;
  /** A request that is woken and finds no slot. */
  readonly wakeUs: number;
  readonly waiting: number;
}

const STATE: OrderState = {isAboveShare: (customer) => customer === 'c0', now: 150};

function requestOf(id: number): WaitingRequest {
  return {
    arrivedAt: id,
    customer: `c${id % CUSTOMERS}`,
    id,
    isReturn: id % 5 === 0,
    objectiveAt: id % 2 === 0 ? 200 + (id % 97) : -Infinity,
    rank: id % RANKS,
    weight: null,
  };
}

/** Runs an operation repeatedly and returns its processor time in microseconds; the first tenth warms up. */
function measureUs(run: (round: number) => void): number {
  const warmUp = ROUNDS / 10;
  Array.from({length: warmUp}, (_, round) => run(round));
  const startedAt = process.cpuUsage();
  for (let round = warmUp; round < warmUp + ROUNDS; round++) {
    run(round);
  }
  const {system, user} = process.cpuUsage(startedAt);
  return Math.round(((system + user) / ROUNDS) * 10) / 10;
}

/**
 * Measures a queue with a constant number of waiting requests.
 *
 * @param waiting number of waiting requests
 */
export function measureAdmission(waiting: number): AdmissionCost {
  let queue: AdmissionQueue = EMPTY_QUEUE;
  const add = (id: number): void => {
    const joined = enqueue(queue, requestOf(id), waiting + 1, STATE);
    queue = joined.kind === 'refused' ? queue : joined.queue;
  };
  Array.from({length: waiting}, (_, id) => add(id));
  const replaceUs = measureUs((round) => {
    add(waiting + round);
    queue = dequeue(queue, STATE)!.queue;
  });
  const wakeUs = measureUs(() => {
    const taken = dequeue(queue, STATE)!;
    queue = putBack(taken.queue, taken.req);
  });
  const aheadUs = measureUs((round) => void requestsAhead(queue, requestOf(-round), STATE));
  return {aheadUs, replaceUs, waiting, wakeUs};
}
