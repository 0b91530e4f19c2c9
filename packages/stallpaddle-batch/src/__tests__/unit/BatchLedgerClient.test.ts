/**
 * Lease renewals follow the monotonic clock: a jump of the wall clock must not stop or multiply them.
 */
import type {LeasedChunk, LedgerAnswer, LedgerCommand, LedgerPort} from 'stallpaddle-ledger';

import {describe, expect, test} from 'vitest';

import {BATCH_LEASE_MS} from '../../BatchConstants';
import {BatchLedgerClient} from '../../BatchLedgerClient';

const TOKEN = 7;
const CHUNK: LeasedChunk = {
  chunk: 0,
  customer: 'ana',
  endpoint: '/v1/chat/completions',
  input: {length: 0, offset: 0},
  items: [{item: 0, losses: 0}],
  jobId: 'job',
  model: 'm',
  repeatable: true,
  token: TOKEN,
};
const LOGGER = {debug: () => {}, error: () => {}, info: () => {}, warn: () => {}};

/** A ledger client whose monotonic and wall clocks are set by the test. */
class VmUnderTest {
  readonly commands: LedgerCommand[] = [];
  monotonicMs = 50;
  wallMs = 1_790_000_000_000;
  readonly ledger: BatchLedgerClient;

  constructor() {
    const port = {
      command: (command: LedgerCommand): Promise<LedgerAnswer> => {
        this.commands.push(command);
        return Promise.resolve(
          command.type === 'lease'
            ? {chunks: [CHUNK], kind: 'leased'}
            : {kind: 'reported', revoked: []},
        );
      },
      readBlob: () => Promise.resolve(Buffer.from('{}')),
    } as unknown as LedgerPort;
    const clock = {monotonicMs: () => this.monotonicMs, wallMs: () => this.wallMs};
    this.ledger = new BatchLedgerClient('vm', port, clock, LOGGER);
  }

  get renewals(): number {
    return this.commands.filter(
      (command) => command.type === 'report' && command.renew.includes(TOKEN),
    ).length;
  }

  /** Advances both clocks and reports every 50 ms, as the dispatcher does. */
  async run(ms: number): Promise<void> {
    for (let elapsed = 0; elapsed < ms; elapsed += 50) {
      this.monotonicMs += 50;
      this.wallMs += 50;
      await this.ledger.report(false);
    }
  }
}

describe('lease renewals', () => {
  test('continue when the wall clock jumps back', async () => {
    const vm = new VmUnderTest();
    await vm.ledger.lease(['m'], 1);
    await vm.run(BATCH_LEASE_MS);
    const before = vm.renewals;
    vm.wallMs -= 600_000;
    await vm.run(BATCH_LEASE_MS);
    expect(before).toBe(4);
    expect(vm.renewals - before).toBe(4);
  });

  test('are not sent more often when the wall clock jumps ahead', async () => {
    const vm = new VmUnderTest();
    await vm.ledger.lease(['m'], 1);
    await vm.run(50);
    for (let jump = 0; jump < 10; jump++) {
      vm.wallMs += 600_000;
      await vm.run(50);
    }
    expect(vm.renewals).toBe(1);
  });
});
