/**
 * Items through a ledger shard with three real replicas: upload, leases, results.
 */
import type {LedgerAnswer, LedgerCommand, LedgerState} from 'stallpaddle-ledger';
import type {ReplicaDriver} from 'stallpaddle-replication';

import {encodeValue} from 'stallpaddle';
import {CHUNK_ITEMS, ledgerMachine} from 'stallpaddle-ledger';

import {BenchGroup} from './BenchGroup';

const LINE_BYTES = 220;
const RESULT_BYTES = 400;
const CHUNKS_PER_PART = 128;
const WORKERS = 8;
const ITEMS_PER_LEASE = 128;
const LEASE_MS = 60_000;

/** What a number of items cost. */
export interface LedgerCost {
  readonly blobBytesPerItem: number;
  readonly cpuMicrosPerItem: number;
  readonly entriesPerItem: number;
  readonly heapBytesPerItem: number;
  readonly items: number;
  readonly itemsPerSecond: number;
  readonly reopenMs: number;
  readonly replayed: number;
  readonly syncsPerEntry: number;
}

class LedgerLoad {
  commands = 0;

  constructor(private readonly leader: ReplicaDriver<LedgerState>) {}

  async run(items: number, name: string): Promise<void> {
    await this.upload(items, name);
    await Promise.all(Array.from({length: WORKERS}, (_, worker) => this.work(`vm-${worker}`)));
  }

  private async propose(command: LedgerCommand): Promise<LedgerAnswer> {
    this.commands++;
    return (await this.leader.propose(encodeValue(command))) as LedgerAnswer;
  }

  private async upload(items: number, name: string): Promise<void> {
    const base = {customer: 'c', fileId: name, now: 0};
    const lines = Buffer.from(`${'x'.repeat(LINE_BYTES - 1)}\n`.repeat(CHUNK_ITEMS));
    const size = Math.ceil(items / CHUNK_ITEMS);
    for (let firstChunk = 0; firstChunk < size; firstChunk += CHUNKS_PER_PART) {
      const count = Math.min(CHUNKS_PER_PART, size - firstChunk);
      const chunks = Array.from({length: count}, () => ({items: CHUNK_ITEMS, lines}));
      await this.propose({...base, chunks, firstChunk, model: 'm', type: 'appendFile'});
    }
    await this.propose({...base, bytes: 1, content: name, filename: name, size, type: 'sealFile'});
    await this.propose({
      content: name,
      customer: 'c',
      dueAt: 1e12,
      endpoint: '/v1/chat/completions',
      fileId: name,
      jobId: `job-${name}`,
      key: null,
      metadata: {},
      now: 0,
      repeatable: true,
      type: 'createJob',
    });
  }

  private async work(vm: string): Promise<void> {
    const line = 'r'.repeat(RESULT_BYTES);
    for (;;) {
      const answer = await this.propose({
        leaseMs: LEASE_MS,
        maxItems: ITEMS_PER_LEASE,
        models: ['m'],
        now: 0,
        type: 'lease',
        vm,
      });
      if (answer.kind !== 'leased' || answer.chunks.length === 0) {
        return;
      }
      const reports = answer.chunks.map(({chunk, items, jobId, token}) => ({
        chunk,
        items: items.map(({item}) => ({item, kind: 'done' as const, line})),
        jobId,
        release: true,
        token,
      }));
      await this.propose({leaseMs: LEASE_MS, now: 0, renew: [], reports, type: 'report', vm});
    }
  }
}

/**
 * Measures the ledger at a number of items, in a group of its own.
 *
 * @param items number of items in one job
 */
export async function measureLedger(items: number): Promise<LedgerCost> {
  const group = new BenchGroup(ledgerMachine);
  await group.start();
  try {
    const leader = await group.leader();
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const before = {...leader.counters};
    const cpuBefore = process.cpuUsage();
    const startedAt = performance.now();
    const load = new LedgerLoad(leader);
    await load.run(items, 'f');
    const seconds = (performance.now() - startedAt) / 1000;
    const cpu = process.cpuUsage(cpuBefore);
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed - heapBefore;
    const {commits, syncs} = leader.counters;
    const entries = commits - before.commits;
    const {blobEnd} = leader.localState;
    const {ms, replayed} = await group.reopen();
    return {
      blobBytesPerItem: Math.round(blobEnd / items),
      // Three replicas share this process.
      cpuMicrosPerItem: Math.round((10 * (cpu.user + cpu.system)) / items / 3) / 10,
      entriesPerItem: Math.round((1000 * entries) / items) / 1000,
      heapBytesPerItem: Math.round(heap / items / 3),
      items,
      itemsPerSecond: Math.round(items / seconds),
      reopenMs: Math.round(ms),
      replayed,
      syncsPerEntry: Math.round((100 * (syncs - before.syncs)) / entries) / 100,
    };
  } finally {
    await group.stop();
  }
}
