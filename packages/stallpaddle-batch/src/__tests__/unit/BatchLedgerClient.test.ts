import type {LeasedChunk, LedgerAnswer, LedgerCommand, LedgerPort} from 'stallpaddle-ledger';

/**
 * Renewals of a VM's leases, at a shard that grants one chunk and notes what it is told.
 */
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

/** A VM with its two clocks, both driven here. */
class VmUnderTest {
  readonly commands: LedgerCommand[] = [];
  steadyMs = 50;
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
    const clock = {monotonicMs: () => this.steadyMs, wallMs: () => this.wallMs};
    this.ledger = new BatchLedgerClient('vm', port, clock, LOGGER);
  }

  get renewals(): number {
    return this.commands.filter(
      (command) => command.type === 'report' && command.renew.includes(TOKEN),
    ).length;
  }

  /** Lets time pass with a look each 50 ms, as the dispatcher does. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.steadyMs += 50;
      this.wallMs += 50;
      await this.ledger.report(false);
    }
  }
}

describe('renewals', () => {
  test('go on when the time of day jumps back', async () => {
    const vm = new VmUnderTest();
    await vm.ledger.lease(['m'], 1);
    await vm.run(BATCH_LEASE_MS);
    const before = vm.renewals;
    vm.wallMs -= 600_000;
    await vm.run(BATCH_LEASE_MS);
    expect(before).toBe(4);
    expect(vm.renewals - before).toBe(4);
  });

  test('come no more often when the time of day jumps ahead', async () => {
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
