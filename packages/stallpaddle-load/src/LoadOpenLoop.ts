/**
 * Open-loop load: requests leave at their times whatever becomes of the others, and latency counts
 * from the time a request should have left, so that a slow server hides nothing.
 */
import {Agent} from 'node:http';
import {delay, exponentialMs, seededRandom} from 'stallpaddle';
import {createLatencyHistogram, recordMs} from 'stallpaddle-gateway';

import {callServer} from './LoadHttp';

/** What is sent where. */
export interface OpenLoopOptions {
  readonly key: string;
  readonly model: string;
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly seed: number;
  readonly stream: boolean;
  /** Requests go to them in turn. */
  readonly targets: readonly {readonly host: string; readonly port: number}[];
  readonly tokens: number;
}

/** What came of it; times in milliseconds. */
export interface OpenLoopResult {
  readonly answered: number;
  readonly failed: number;
  readonly firstByteP50Ms: number;
  readonly firstByteP99Ms: number;
  readonly sent: number;
  readonly wholeP50Ms: number;
  readonly wholeP99Ms: number;
}

const US_PER_MS = 1000;
const HEADS = 20;
const MAX_SOCKETS = 2048;

function bodyOf(options: OpenLoopOptions, number: number, head: number): string {
  const {model, stream, tokens} = options;
  const messages = [
    {content: `You check filings of office ${head}.`, role: 'system'},
    {content: `Filing ${number} of seed ${options.seed}`, role: 'user'},
  ];
  return JSON.stringify({max_tokens: tokens, messages, model, stream});
}

/**
 * Sends the load and waits for the last answer.
 *
 * @param options what is sent where
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<OpenLoopResult> {
  const random = seededRandom(options.seed);
  const agent = new Agent({keepAlive: true, maxSockets: MAX_SOCKETS});
  const firstByte = createLatencyHistogram();
  const whole = createLatencyHistogram();
  const open: Promise<void>[] = [];
  let answered = 0;
  const send = async (number: number, head: number, dueAt: number): Promise<void> => {
    const target = options.targets[number % options.targets.length]!;
    const sentAt = performance.now();
    try {
      const answer = await callServer({
        ...target,
        agent,
        body: bodyOf(options, number, head),
        key: options.key,
        method: 'POST',
        path: '/v1/chat/completions',
      });
      if (answer.status === 200) {
        answered++;
        recordMs(firstByte, answer.firstByteMs + sentAt - dueAt);
        recordMs(whole, performance.now() - dueAt);
      }
    } catch {
      // Counted as failed: sent, but not answered.
    }
  };
  const startedAt = performance.now();
  let dueAt = startedAt;
  while (dueAt - startedAt < options.seconds * 1000) {
    dueAt += exponentialMs(random, options.ratePerSecond);
    const head = Math.floor(random() * HEADS);
    const wait = dueAt - performance.now();
    if (wait > 0) {
      await delay(wait);
    }
    open.push(send(open.length, head, dueAt));
  }
  await Promise.all(open);
  agent.destroy();
  const ms = (histogram: typeof whole, at: number): number =>
    Math.round(histogram.getValueAtPercentile(at) / (US_PER_MS / 100)) / 100;
  return {
    answered,
    failed: open.length - answered,
    firstByteP50Ms: ms(firstByte, 50),
    firstByteP99Ms: ms(firstByte, 99),
    sent: open.length,
    wholeP50Ms: ms(whole, 50),
    wholeP99Ms: ms(whole, 99),
  };
}
