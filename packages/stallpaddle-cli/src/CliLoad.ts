/**
 * The `load` command.
 */
import {refuse} from 'stallpaddle';
import {runOpenLoop} from 'stallpaddle-load';

import type {CliTarget} from './CliClient';

import {print} from './CliPrint';

/** Flags of `load`. */
export interface LoadFlags {
  readonly json?: boolean;
  readonly model?: string;
  readonly rate: number;
  readonly seconds: number;
  readonly seed: number;
  readonly tokens: number;
  readonly whole?: boolean;
}

/**
 * Sends online requests at a constant rate and prints counts and latencies.
 *
 * @param target VM that receives the call
 * @param flags rate, duration and kind of requests
 */
export async function runLoad(target: CliTarget, flags: LoadFlags): Promise<void> {
  if (flags.model === undefined) {
    throw refuse('badRequest', '--model NAME is missing');
  }
  const result = await runOpenLoop({
    key: target.key,
    model: flags.model,
    ratePerSecond: Number(flags.rate),
    seconds: Number(flags.seconds),
    seed: Number(flags.seed),
    stream: flags.whole !== true,
    targets: [target],
    tokens: Number(flags.tokens),
  });
  print(flags.json === true, result, () =>
    [
      `${result.sent} sent, ${result.answered} answered, ${result.failed} failed`,
      `first byte: p50 ${result.firstByteP50Ms} ms, p99 ${result.firstByteP99Ms} ms`,
      `full response: p50 ${result.wholeP50Ms} ms, p99 ${result.wholeP99Ms} ms`,
    ].join('\n'),
  );
}
