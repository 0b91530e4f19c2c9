/**
 * Work that is done again and again.
 */
import {delay} from './Clock';

/**
 * Does something, waits, and does it again. The next round begins a pause after the last one ended.
 *
 * @param pauseMs pause before each round, in milliseconds
 * @param round one round; must not reject
 * @returns ends the loop; resolves once the round under way has ended
 */
export function registerLoop(pauseMs: number, round: () => Promise<void>): () => Promise<void> {
  const stopper = new AbortController();
  const run = async (): Promise<void> => {
    for (;;) {
      await delay(pauseMs, stopper.signal);
      if (stopper.signal.aborted) {
        return;
      }
      await round();
    }
  };
  const ended = run();
  return async () => {
    stopper.abort();
    await ended;
  };
}
