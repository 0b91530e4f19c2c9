/** Guards against a planned stop that is cut short. */
import {EventEmitter} from 'node:events';
import {expect, test} from 'vitest';

import {registerStopSignal} from '../../NodeMain';

// Guards against requests that are cut off because a second signal to stop ends the process at once.
test('a signal to stop that is repeated neither stops twice nor ends the process', () => {
  const source = new EventEmitter();
  let stops = 0;
  registerStopSignal(source, () => stops++);
  source.emit('SIGTERM');
  source.emit('SIGTERM');
  expect(stops).toBe(1);
  // Without a listener, the default action of the signal ends the process.
  expect(source.listenerCount('SIGTERM')).toBe(1);
});
