/**
 * Open-loop load generator. Requests are sent at scheduled times, independent of earlier responses, and latency is
 * measured from the scheduled time, which avoids coordinated omission.
 */
import {Agent} from 'node:http';
import {delay, exponentialMs, seededRandom} from 'stallpaddle';
import {createLatencyHistogram, recordMs} from 'stallpaddle-gateway';

import {callServer} from './LoadHttp';

/** Rate, content and targets of the load. */
export interface OpenLoopOptions {
  readonly key: string;
  readonly model: string;
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly seed: number;
  readonly stream: boolean;
  /** Servers that receive the requests, round robin. */
  readonly targets: readonly {readonly host: string; readonly port: number}[];
  /** Value of `max_tokens` in each request. */
  readonly tokens: number;
}

/** Request counts and latency percentiles, in milliseconds. */
export interface OpenLoopResult {
  /** Requests that got a complete response with status 200. */
  readonly answered: number;
  readonly failed: number;
  readonly firstByteP50Ms: number;
  readonly firstByteP99Ms: number;
  readonly sent: number;
  /** Time until the response was complete. */
  readonly wholeP50Ms: number;
  readonly wholeP99Ms: number;
}

const US_PER_MS = 1000;
/** Number of distinct system prompts, each a prefix that several requests share. */
const SYSTEM_PROMPTS = 20;
const MAX_SOCKETS = 2048;

function requestBody(options: OpenLoopOptions, requestIndex: number, promptIndex: number): string {
  const {model, stream, tokens} = options;
  const messages = [
    {content: `You check filings of office ${promptIndex}.`, role: 'system'},
    {content: `Filing ${requestIndex} of seed ${options.seed}`, role: 'user'},
  ];
  return JSON.stringify({max_tokens: tokens, messages, model, stream});
}

/**
 * Sends the load and waits until every request has ended.
 *
 * @param options rate, content and targets of the load
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<OpenLoopResult> {
  const random = seededRandom(options.seed);
  const agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  const firstByteLatency = createLatencyHistogram();
  const totalLatency = createLatencyHistogram();
  const requests: Promise<void>[] = [];
  let answered = 0;
  const send = async (
    requestIndex: number,
    promptIndex: number,
    scheduledAt: number,
  ): Promise<void> => {
    const target = options.targets[requestIndex % options.targets.length]!;
    const sentAt = performance.now();
    try {
      const response = await callServer({
        ...target,
        agent,
        body: requestBody(options, requestIndex, promptIndex),
        key: options.key,
        method: 'POST',
        path: '/v1/chat/completions',
      });
      if (response.status === 200) {
        answered++;
        recordMs(firstByteLatency, response.firstByteMs + sentAt - scheduledAt);
        recordMs(totalLatency, performance.now() - scheduledAt);
      }
    } catch {
      // The result counts every request that was not answered as failed.
    }
  };
  const startedAt = performance.now();
  let scheduledAt = startedAt;
  while (scheduledAt - startedAt < options.seconds * 1000) {
    scheduledAt += exponentialMs(random, options.ratePerSecond);
    const promptIndex = Math.floor(random() * SYSTEM_PROMPTS);
    const waitMs = scheduledAt - performance.now();
    if (waitMs > 0) {
      await delay(waitMs);
    }
    requests.push(send(requests.length, promptIndex, scheduledAt));
  }
  await Promise.all(requests);
  agent.destroy();
  const percentileMs = (histogram: typeof totalLatency, percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / (US_PER_MS / 100)) / 100;
  return {
    answered,
    failed: requests.length - answered,
    firstByteP50Ms: percentileMs(firstByteLatency, 50),
    firstByteP99Ms: percentileMs(firstByteLatency, 99),
    sent: requests.length,
    wholeP50Ms: percentileMs(totalLatency, 50),
    wholeP99Ms: percentileMs(totalLatency, 99),
  };
}
