/**
 * Messages to a VM that does not take them.
 */
import type {Message} from 'stallpaddle-replication';

import {describe, expect, test} from 'vitest';

import {OUTBOX_BYTES, RpcOutbox} from '../../RpcOutbox';

function messageOf(bytes: number): Message {
  return {
    body: {
      commit: 0,
      entries: [{index: 1, payload: {data: new Uint8Array(bytes), kind: 'command'}, term: 1}],
      kind: 'append',
      prevIndex: 0,
      prevTerm: 0,
      sentAt: 0,
    },
    from: 'a/1',
    group: 'g',
    term: 1,
    to: 'b/1',
  };
}

describe('RpcOutbox', () => {
  test('holds a bounded number of bytes for a VM that is cut off, and always the newest message', () => {
    const outbox = new RpcOutbox(() => new Promise(() => {}));
    for (let sent = 0; sent < 100; sent++) {
      outbox.add(messageOf(1_000_000));
      expect(outbox.waitingBytes).toBeLessThanOrEqual(OUTBOX_BYTES);
    }
    outbox.add(messageOf(5_000_000));
    expect(outbox.waitingBytes).toBeGreaterThan(5_000_000);
    outbox.close();
  });
});
