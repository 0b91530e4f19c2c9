/** The end of a graceful shutdown. */
import {delay, systemClock} from 'stallpaddle';
import {expect, test} from 'vitest';

import {NodeDrainState} from '../../NodeDrainState';

const GRACE_MS = 4_000;
const SENDING_MS = 200;

// Guards against a process that exits while a slow caller reads its response.
test('a stopping process waits until all responses are sent', async () => {
  const drainState = new NodeDrainState(systemClock, GRACE_MS);
  drainState.leave();
  let unsent = 1;
  let isIdle = false;
  const idle = drainState
    .untilIdle(() => unsent)
    .then(() => {
      isIdle = true;
    });
  await delay(SENDING_MS);
  expect(isIdle).toBe(false);
  unsent = 0;
  await idle;
});

// Guards against requests that are accepted during a stop and cut off at its end.
test('a stopping process has time only for what ends before its own end', () => {
  let now = 0;
  const drainState = new NodeDrainState({...systemClock, monotonicMs: () => now}, GRACE_MS);
  expect(drainState.hasTimeFor(10 * GRACE_MS)).toBe(true);
  drainState.leave();
  expect(drainState.hasTimeFor(GRACE_MS - 500)).toBe(true);
  expect(drainState.hasTimeFor(GRACE_MS)).toBe(false);
  now = 1_000;
  expect(drainState.hasTimeFor(GRACE_MS - 500)).toBe(false);
});
