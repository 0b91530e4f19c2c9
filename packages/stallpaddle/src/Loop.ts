/**
 * Periodic background work.
 */
import {delay} from './Clock';

/**
 * Runs a task periodically, with a pause before each run; runs never overlap.
 *
 * @param pauseMs pause before each run, in milliseconds
 * @param task the task; must not reject
 * @returns stops the loop; resolves once a running task has finished
 */
export function registerLoop(pauseMs: number, task: () => Promise<void>): () => Promise<void> {
  const controller = new AbortController();
  const run = async (): Promise<void> => {
    for (;;) {
      await delay(pauseMs, controller.signal);
      if (controller.signal.aborted) {
        return;
      }
      await task();
    }
  };
  const ended = run();
  return async () => {
    controller.abort();
    await ended;
  };
}
