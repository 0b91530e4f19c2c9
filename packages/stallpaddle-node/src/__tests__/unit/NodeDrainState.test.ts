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
