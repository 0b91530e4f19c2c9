/**
 * Measures a ledger shard with three replicas: uploads a file, leases its items and reports their results.
 */
import type {LedgerAnswer, LedgerCommand, LedgerState} from 'stallpaddle-ledger';
import type {ReplicaDriver} from 'stallpaddle-replication';

import {encodeValue} from 'stallpaddle';
import {CHUNK_ITEMS, ledgerMachine} from 'stallpaddle-ledger';

import {BenchGroup} from './BenchGroup';

const LINE_BYTES = 220;
const RESULT_BYTES = 400;
const CHUNKS_PER_APPEND = 128;
const WORKERS = 8;
const ITEMS_PER_LEASE = 128;
const LEASE_MS = 60_000;

/** Throughput of a ledger shard and its resource use per item. */
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

/** Proposes the commands of one batch job: the upload, then leases and reports by concurrent workers. */
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
    for (let firstChunk = 0; firstChunk < size; firstChunk += CHUNKS_PER_APPEND) {
      const count = Math.min(CHUNKS_PER_APPEND, size - firstChunk);
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
      const lease = await this.propose({
        leaseMs: LEASE_MS,
        maxItems: ITEMS_PER_LEASE,
        models: ['m'],
        now: 0,
        type: 'lease',
        vm,
      });
      if (lease.kind !== 'leased' || lease.chunks.length === 0) {
        return;
      }
      const reports = lease.chunks.map(({chunk, items, jobId, token}) => ({
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
 * Runs one batch job through a new ledger group and measures throughput, CPU, memory and reopening.
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
    const countersBefore = {...leader.counters};
    const cpuBefore = process.cpuUsage();
    const startedAt = performance.now();
    const load = new LedgerLoad(leader);
    await load.run(items, 'f');
    const seconds = (performance.now() - startedAt) / 1000;
    const cpu = process.cpuUsage(cpuBefore);
    globalThis.gc?.();
    const heapBytes = process.memoryUsage().heapUsed - heapBefore;
    const {commits, syncs} = leader.counters;
    const entries = commits - countersBefore.commits;
    const {blobEnd} = leader.localState;
    const {ms, replayed} = await group.reopen();
    return {
      blobBytesPerItem: Math.round(blobEnd / items),
      // Three replicas share this process, so CPU time and heap are divided by three.
      cpuMicrosPerItem: Math.round((10 * (cpu.user + cpu.system)) / items / 3) / 10,
      entriesPerItem: Math.round((1000 * entries) / items) / 1000,
      heapBytesPerItem: Math.round(heapBytes / items / 3),
      items,
      itemsPerSecond: Math.round(items / seconds),
      reopenMs: Math.round(ms),
      replayed,
      syncsPerEntry: Math.round((100 * (syncs - countersBefore.syncs)) / entries) / 100,
    };
  } finally {
    await group.stop();
  }
}
