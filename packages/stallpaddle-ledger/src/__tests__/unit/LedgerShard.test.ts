/**
 * Compares the ledger with its reference model under resent commands, late and duplicate reports, expiry, cancellation
 * and restarts from a snapshot.
 */
import fc from 'fast-check';
import {decodeValue, encodeValue} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {LeasedChunk, LedgerAnswer, LedgerCommand, LedgerState} from '../../LedgerTypes';

import {CALL_RECORD_TTL_MS, LEGACY_LEASE_MS, UPLOAD_TIMEOUT_MS} from '../../LedgerConstants';
import {hasExpiredLeases} from '../../LedgerLeases';
import {EMPTY_LEDGER, ledgerMachine} from '../../LedgerShard';
import {NaiveLedger} from './NaiveLedger';

const CUSTOMERS = ['ana', 'bea'] as const;
const LEASE_MS = 100;
/** Offsets of the VMs' wall clocks from real time, in milliseconds, used in turn. */
const SKEWS_MS = [0, 600_000, -600_000, 5_000] as const;

/** The ledger behind its replication interface, with the blobs that it wrote. */
class LedgerUnderTest {
  readonly blobs = new Map<number, Uint8Array>();
  /** Real time, in milliseconds. */
  now = 0;
  state: LedgerState = EMPTY_LEDGER;
  private lastCommandAt = 0;

  apply(command: LedgerCommand): LedgerAnswer {
    const elapsedMs = this.now - this.lastCommandAt;
    this.lastCommandAt = this.now;
    const {blobs, result, state} = ledgerMachine.apply(this.state, encodeValue(command), elapsedMs);
    this.state = state;
    blobs.forEach(({payload, ref}) => this.blobs.set(ref.offset, payload));
    return result as LedgerAnswer;
  }

  restart(): void {
    this.state = ledgerMachine.decode(ledgerMachine.encode(this.state));
  }

  /** Leases one item to a VM. */
  lease(vm: string, now: number): LeasedChunk | undefined {
    const models = ['m'];
    const command = {leaseMs: LEASE_MS, maxItems: 1, models, now, type: 'lease' as const, vm};
    const answer = this.apply(command);
    return answer.kind === 'leased' ? answer.chunks[0] : undefined;
  }

  linesOf(jobId: string): readonly string[] {
    const job = this.state.jobs.get(jobId)!;
    return [...job.outputs, ...job.errors].flatMap(({offset}) =>
      Buffer.from(this.blobs.get(offset)!).toString().trim().split('\n'),
    );
  }

  upload(fileId: string, customer: string, chunks: readonly number[], now: number): void {
    const lines = (items: number): Uint8Array => Buffer.from('input\n'.repeat(items));
    this.apply({
      chunks: chunks.map((items) => ({items, lines: lines(items)})),
      customer,
      fileId,
      firstChunk: 0,
      model: 'm',
      now,
      type: 'appendFile',
    });
    this.apply({
      bytes: 1,
      content: `content of ${chunks.join()}`,
      customer,
      fileId,
      filename: 'f',
      now,
      size: chunks.length,
      type: 'sealFile',
    });
  }
}

function createCommand(changes: Partial<Extract<LedgerCommand, {type: 'createJob'}>>) {
  return {
    content: 'c',
    customer: 'ana',
    dueAt: 1_000_000,
    endpoint: '/v1/chat/completions',
    fileId: 'file',
    jobId: 'job',
    key: null,
    metadata: {},
    now: 0,
    repeatable: true,
    type: 'createJob' as const,
    ...changes,
  };
}

const reportKind = fc.constantFrom(
  'done' as const,
  'done' as const,
  'failed' as const,
  'lost' as const,
  'returned' as const,
);

const step = fc.oneof(
  fc.record({
    chunks: fc.array(fc.integer({max: 4, min: 1}), {maxLength: 4, minLength: 1}),
    customer: fc.nat({max: 1}),
    key: fc.option(fc.nat({max: 2})),
    kind: fc.constant('create' as const),
    repeatable: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('lease' as const),
    most: fc.integer({max: 8, min: 1}),
    vm: fc.nat({max: 2}),
  }),
  fc.record({
    items: fc.array(fc.record({item: fc.nat({max: 4}), kind: reportKind}), {maxLength: 5}),
    kind: fc.constant('report' as const),
    release: fc.boolean(),
    renew: fc.boolean(),
    token: fc.nat({max: 30}),
  }),
  fc.record({
    items: fc.array(fc.nat({max: 3}), {maxLength: 3}),
    kind: fc.constant('start' as const),
    token: fc.nat({max: 30}),
  }),
  fc.record({kind: fc.constant('expire' as const), ms: fc.nat({max: 150})}),
  fc.record({job: fc.nat({max: 6}), kind: fc.constant('cancel' as const)}),
  fc.record({kind: fc.constant('restart' as const)}),
);

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Runs steps on the ledger and its reference model, and compares their answers and states. */
class Comparison {
  readonly naive = new NaiveLedger();
  readonly real = new LedgerUnderTest();
  private created = 0;
  private commandsSent = 0;
  private readonly tokens: {
    readonly chunk: number;
    readonly jobId: string;
    readonly token: number;
  }[] = [];

  constructor() {
    // At 0 the ledger would use the wall clocks, as it does for entries of releases without a shard clock.
    this.real.now = 1;
  }

  private get now(): number {
    return this.real.now;
  }

  /** Wall-clock time of the VM that sends the next command; the VMs' clocks differ. */
  private wallMs(): number {
    return this.now + SKEWS_MS[this.commandsSent++ % SKEWS_MS.length]!;
  }

  run(next: Step): void {
    switch (next.kind) {
      case 'cancel': {
        const jobId = [...this.naive.jobs.keys()][next.job];
        if (jobId !== undefined) {
          this.real.apply({customer: null, jobId, now: this.wallMs(), type: 'cancelJob'});
          this.naive.cancel(jobId);
        }
        break;
      }
      case 'create':
        this.create(next);
        break;
      case 'expire':
        this.real.now += next.ms;
        this.real.apply({now: this.wallMs(), type: 'expire'});
        this.naive.expire(this.now);
        break;
      case 'lease':
        this.lease(`vm-${next.vm}`, next.most);
        break;
      case 'report':
        this.report(next);
        break;
      case 'restart':
        this.real.restart();
        break;
      case 'start': {
        const held = this.tokens[next.token];
        if (held !== undefined) {
          const {token} = held;
          const answer = this.real.apply({items: next.items, token, type: 'startItems'});
          expect(answer).toEqual({items: this.naive.start(token, next.items), kind: 'started'});
        }
        break;
      }
    }
    this.compare();
  }

  /** Leases and completes all remaining items. */
  finish(): void {
    for (let round = 0; round < 200; round++) {
      this.real.now += LEASE_MS * 2;
      this.real.apply({now: this.wallMs(), type: 'expire'});
      this.naive.expire(this.now);
      const before = this.tokens.length;
      this.lease('vm-last', 64);
      if (this.tokens.length === before) {
        break;
      }
      for (const {token} of this.tokens.slice(before)) {
        this.send(
          token,
          Array.from({length: 5}, (_, item) => ({item, kind: 'done'})),
          true,
          false,
        );
      }
    }
    this.compare();
    for (const [jobId, job] of this.naive.jobs) {
      expect(job.items.every(({end}) => end !== null)).toBe(true);
      expect(this.real.state.jobs.get(jobId)!.status).not.toBe('running');
    }
  }

  private create({chunks, customer, key, repeatable}: Extract<Step, {kind: 'create'}>): void {
    const number = this.created++;
    const owner = CUSTOMERS[customer]!;
    const fileId = `file-${number}`;
    this.real.upload(fileId, owner, chunks, this.wallMs());
    const command = createCommand({
      content: chunks.join(),
      customer: owner,
      fileId,
      jobId: `job-${number}`,
      key: key === null ? null : `key-${key}`,
      now: this.wallMs(),
      repeatable,
    });
    const answer = this.real.apply(command);
    const expected = this.naive.create(command, chunks);
    expect(answer.kind === 'job' ? answer.jobId : answer.kind).toBe(expected);
  }

  private lease(vm: string, most: number): void {
    const answer = this.real.apply({
      leaseMs: LEASE_MS,
      maxItems: most,
      models: ['m'],
      now: this.wallMs(),
      type: 'lease',
      vm,
    });
    const chunks = answer.kind === 'leased' ? answer.chunks : [];
    for (const {chunk, jobId, token} of chunks) {
      expect(this.naive.grant(jobId, chunk, token, vm, this.now + LEASE_MS)).toBe(true);
      this.tokens.push({chunk, jobId, token});
    }
  }

  private report({items, release, renew, token}: Extract<Step, {kind: 'report'}>): void {
    const held = this.tokens[token];
    if (held !== undefined) {
      this.send(held.token, items, release, renew);
    }
  }

  private send(
    token: number,
    items: readonly {
      readonly item: number;
      readonly kind: 'done' | 'failed' | 'lost' | 'returned';
    }[],
    release: boolean,
    renew: boolean,
  ): void {
    const {chunk, jobId} = this.tokens.find((known) => known.token === token)!;
    const report = {
      chunk,
      items: items.map(({item, kind}, number) => ({
        item,
        kind,
        line: kind === 'returned' ? '' : `${jobId}/${chunk}/${item}/${token}/${kind}/${number}`,
      })),
      jobId,
      release,
      token,
    };
    const vm = this.naive.leases.get(token)?.vm ?? 'vm-none';
    const answer = this.real.apply({
      leaseMs: LEASE_MS,
      now: this.wallMs(),
      renew: renew ? [token] : [],
      reports: [report],
      type: 'report',
      vm,
    });
    const accepted = this.naive.report(report);
    const lease = this.naive.leases.get(token);
    const renewed = renew && lease !== undefined;
    if (renewed) {
      lease.until = Math.max(lease.until, this.now + LEASE_MS);
    }
    const revoked = [...(accepted ? [] : [token]), ...(renew && !renewed ? [token] : [])];
    expect(answer).toEqual({kind: 'reported', revoked});
  }

  private compare(): void {
    expect(this.real.state.leases.size).toBe(this.naive.leases.size);
    for (const [token, {until}] of this.naive.leases) {
      expect(this.real.state.leases.get(token)?.until).toBe(until);
    }
    for (const [jobId, job] of this.naive.jobs) {
      const real = this.real.state.jobs.get(jobId)!;
      const count = (end: string): number => job.items.filter((item) => item.end === end).length;
      expect(real.counts).toEqual({
        cancelled: count('cancelled'),
        done: count('done'),
        failed: count('failed'),
        mayHaveRun: count('mayHaveRun'),
      });
      const lines = job.items.flatMap(({line}) => (line === null ? [] : [line]));
      expect(
        this.real
          .linesOf(jobId)
          .filter((line) => line !== '')
          .toSorted(),
      ).toEqual(lines.toSorted());
    }
  }
}

describe('updateLedger', () => {
  test(
    'matches its reference model, and ends every item exactly once',
    async () => {
      const property = fc.property(
        fc.array(step, {maxLength: 80, minLength: 10, size: 'max'}),
        (steps) => {
          const comparison = new Comparison();
          steps.forEach((next) => comparison.run(next));
          comparison.finish();
        },
      );
      await assertHistories('ledger', property, 300);
    },
    fuzzTimeoutMs(),
  );

  test('refuses a reused key with different content, and separates the keys and files of customers', () => {
    const ledger = new LedgerUnderTest();
    ledger.upload('file', 'ana', [1], 0);
    ledger.upload('bea-file', 'bea', [1], 0);
    const first = createCommand({jobId: 'one', key: 'k'});
    expect(ledger.apply(first)).toMatchObject({jobId: 'one', resent: false});
    expect(ledger.apply({...first, jobId: 'two'})).toMatchObject({jobId: 'one', resent: true});
    expect(ledger.apply({...first, content: 'other', jobId: 'three'})).toMatchObject({
      code: 'keyReused',
    });
    const otherCustomer = createCommand({
      customer: 'bea',
      fileId: 'bea-file',
      jobId: 'four',
      key: 'k',
    });
    expect(ledger.apply(otherCustomer)).toMatchObject({jobId: 'four', resent: false});
    expect(
      ledger.apply({...otherCustomer, fileId: 'file', jobId: 'five', key: null}),
    ).toMatchObject({
      code: 'notFound',
    });
  });

  test('refuses a job on an unsealed upload without using up its key, and drops the upload after a timeout', () => {
    const ledger = new LedgerUnderTest();
    ledger.now = 1;
    const part = {customer: 'ana', fileId: 'file', model: 'm', now: 0, type: 'appendFile' as const};
    const chunk = {items: 1, lines: Buffer.from('a\n')};
    ledger.apply({...part, chunks: [chunk], firstChunk: 0});
    ledger.apply({...part, chunks: [chunk], firstChunk: 0});
    expect(ledger.state.files.get('file')!.items).toBe(1);
    expect(ledger.apply({...part, chunks: [chunk], firstChunk: 2})).toMatchObject({
      code: 'conflict',
    });
    expect(ledger.apply(createCommand({key: 'k'}))).toMatchObject({code: 'notFound'});
    ledger.now = 700_000;
    ledger.apply({now: 700_000, type: 'expire'});
    expect(ledger.state.files.has('file')).toBe(false);
    ledger.upload('again', 'ana', [1], 0);
    expect(ledger.apply(createCommand({fileId: 'again', key: 'k'}))).toMatchObject({kind: 'job'});
  });

  test('leases to the least served customer, but urgent jobs first', () => {
    const ledger = new LedgerUnderTest();
    const far = 100_000_000;
    ledger.upload(
      'a',
      'ana',
      Array.from({length: 20}, () => 1),
      0,
    );
    ledger.upload(
      'b',
      'bea',
      Array.from({length: 20}, () => 1),
      0,
    );
    ledger.apply(createCommand({dueAt: far, fileId: 'a', jobId: 'a'}));
    ledger.apply(createCommand({customer: 'bea', dueAt: far, fileId: 'b', jobId: 'b'}));
    const lease = (): string => {
      const answer = ledger.apply({
        leaseMs: LEASE_MS,
        maxItems: 1,
        models: ['m'],
        now: 0,
        type: 'lease',
        vm: 'vm',
      });
      return answer.kind === 'leased' ? answer.chunks[0]!.jobId : 'none';
    };
    const order = Array.from({length: 8}, lease);
    expect(order.filter((jobId) => jobId === 'a')).toHaveLength(4);
    ledger.upload('due', 'ana', [1, 1], 0);
    ledger.apply(createCommand({dueAt: 1000, fileId: 'due', jobId: 'due'}));
    expect([lease(), lease()]).toEqual(['due', 'due']);
  });

  test('starts a call that must not run twice only once, and answers resent calls with the first response', () => {
    const ledger = new LedgerUnderTest();
    const call = {content: 'c', customer: 'ana', key: 'k', now: 0};
    const start = {...call, attempt: '1', type: 'startCall' as const};
    expect(ledger.apply(start)).toEqual({kind: 'ok'});
    expect(ledger.apply(start)).toEqual({kind: 'ok'});
    expect(ledger.apply({...start, attempt: '2'})).toMatchObject({
      call: {kind: 'started'},
      kind: 'callExists',
    });
    expect(ledger.apply({...start, attempt: '3', content: 'other'})).toMatchObject({
      code: 'keyReused',
    });
    const end = {...call, body: Buffer.from('answer'), contentType: 't', status: 200};
    ledger.apply({...end, type: 'endCall'});
    ledger.restart();
    const resent = ledger.apply({...start, attempt: '4'});
    expect(resent).toMatchObject({call: {kind: 'ended', status: 200}, kind: 'callExists'});
    ledger.apply({customer: 'ana', key: 'k', type: 'dropCall'});
    expect(ledger.state.calls.size).toBe(1);
  });
});

/** Wall-clock times of two VMs, in milliseconds since 1970; the second is ten minutes ahead. */
const SLOW_MS = 1_790_000_000_000;
const FAST_MS = SLOW_MS + 600_000;

/** A ledger with a non-repeatable job of three chunks, whose shard clock runs unless `now` is 0. */
function ledgerWithJob(now = 1): LedgerUnderTest {
  const ledger = new LedgerUnderTest();
  ledger.now = now;
  ledger.upload('file', 'ana', [1, 1, 1], SLOW_MS);
  ledger.apply(createCommand({dueAt: 2 * SLOW_MS, now: SLOW_MS, repeatable: false}));
  return ledger;
}

describe('leases', () => {
  test('of a VM whose wall clock is behind do not expire early', () => {
    const ledger = ledgerWithJob();
    const {token} = ledger.lease('slow', SLOW_MS)!;
    ledger.apply({items: [0], token, type: 'startItems'});
    ledger.now += LEASE_MS - 1;
    ledger.apply({now: FAST_MS, type: 'expire'});
    expect(ledger.state.leases.has(token)).toBe(true);
    expect(ledger.state.jobs.get('job')!.counts.mayHaveRun).toBe(0);
    ledger.now += 1;
    ledger.apply({now: FAST_MS, type: 'expire'});
    expect(ledger.state.leases.size).toBe(0);
    expect(ledger.state.jobs.get('job')!.counts.mayHaveRun).toBe(1);
  });

  test('of a VM whose wall clock is ahead do not expire late', () => {
    const ledger = ledgerWithJob();
    ledger.lease('fast', FAST_MS);
    ledger.now += LEASE_MS;
    ledger.apply({now: SLOW_MS, type: 'expire'});
    expect(ledger.state.leases.size).toBe(0);
  });

  test('are renewed for a full lease time, whatever the wall clocks say', () => {
    const ledger = ledgerWithJob();
    const {token} = ledger.lease('vm', SLOW_MS)!;
    const renewal = {leaseMs: LEASE_MS, renew: [token], reports: [], type: 'report', vm: 'vm'};
    for (const now of [FAST_MS, SLOW_MS, SLOW_MS - 600_000]) {
      ledger.now += LEASE_MS - 1;
      ledger.apply({...renewal, now} as LedgerCommand);
      ledger.apply({now: FAST_MS, type: 'expire'});
      expect(ledger.state.leases.has(token)).toBe(true);
    }
    ledger.now += LEASE_MS;
    ledger.apply({now: SLOW_MS - 600_000, type: 'expire'});
    expect(ledger.state.leases.has(token)).toBe(false);
  });

  test('that have expired are detected before the next command advances the clock', () => {
    const ledger = ledgerWithJob();
    ledger.lease('vm', SLOW_MS);
    ledger.restart();
    expect(hasExpiredLeases(ledger.state, LEASE_MS - 1)).toBe(false);
    expect(hasExpiredLeases(ledger.state, LEASE_MS)).toBe(true);
  });

  test('of releases without a shard clock replay by wall clock, then expire by the shard clock', () => {
    const ledger = ledgerWithJob(0);
    ledger.lease('a', SLOW_MS);
    ledger.apply({now: SLOW_MS + LEASE_MS - 1, type: 'expire'});
    expect(ledger.state.leases.size).toBe(1);
    ledger.apply({now: SLOW_MS + LEASE_MS, type: 'expire'});
    expect(ledger.state.leases.size).toBe(0);
    expect(ledger.lease('b', SLOW_MS + LEASE_MS)).toMatchObject({chunk: 0, token: 2});
    const {clockMs: _, ...snapshot} = decodeValue<{clockMs: number}>(
      ledgerMachine.encode(ledger.state),
    );
    ledger.state = ledgerMachine.decode(encodeValue(snapshot));
    expect(ledger.state.clockMs).toBe(0);
    ledger.now = 5;
    ledger.apply({now: FAST_MS, type: 'expire'});
    expect(ledger.state.leases.size).toBe(1);
    ledger.now += LEGACY_LEASE_MS - 1;
    ledger.apply({now: FAST_MS, type: 'expire'});
    expect(ledger.state.leases.size).toBe(1);
    ledger.now += 1;
    expect(hasExpiredLeases(ledger.state, 1)).toBe(true);
    ledger.apply({now: SLOW_MS, type: 'expire'});
    expect(ledger.state.leases.size).toBe(0);
  });
});

describe('records', () => {
  test('of an unsealed upload are kept until its timeout, whatever the wall clocks say', () => {
    const ledger = new LedgerUnderTest();
    ledger.now = 1;
    const chunks = [{items: 1, lines: Buffer.from('a\n')}];
    const part = {chunks, customer: 'ana', fileId: 'file', firstChunk: 0, model: 'm'};
    ledger.apply({...part, now: SLOW_MS, type: 'appendFile'});
    ledger.now += UPLOAD_TIMEOUT_MS - 1;
    ledger.restart();
    ledger.apply({now: FAST_MS, type: 'expire'});
    expect(ledger.state.files.has('file')).toBe(true);
    ledger.now += 1;
    ledger.apply({now: SLOW_MS - 600_000, type: 'expire'});
    expect(ledger.state.files.has('file')).toBe(false);
  });

  test('of an unsealed upload of a release without a shard clock get the full timeout again', () => {
    const ledger = new LedgerUnderTest();
    const chunks = [{items: 1, lines: Buffer.from('a\n')}];
    const part = {chunks, customer: 'ana', fileId: 'file', firstChunk: 0, model: 'm'};
    ledger.apply({...part, now: SLOW_MS, type: 'appendFile'});
    const snapshot = decodeValue<{files: {openUntil?: number}[]}>(
      ledgerMachine.encode(ledger.state),
    );
    const files = snapshot.files.map(({openUntil: _, ...file}) => file);
    const decoded = ledgerMachine.decode(encodeValue({...snapshot, files}));
    expect(decoded.files.get('file')!.openUntil).toBe(SLOW_MS + UPLOAD_TIMEOUT_MS);
    ledger.state = decoded;
    ledger.now = 5;
    ledger.apply({now: FAST_MS + UPLOAD_TIMEOUT_MS, type: 'expire'});
    expect(ledger.state.files.has('file')).toBe(true);
    ledger.now += UPLOAD_TIMEOUT_MS;
    ledger.apply({now: SLOW_MS, type: 'expire'});
    expect(ledger.state.files.has('file')).toBe(false);
  });

  test('of calls are dropped after a day', () => {
    const ledger = new LedgerUnderTest();
    const call = {attempt: '1', content: 'c', customer: 'ana', key: 'k', now: SLOW_MS};
    ledger.apply({...call, type: 'startCall'});
    ledger.apply({now: SLOW_MS + CALL_RECORD_TTL_MS - 1, type: 'expire'});
    expect(ledger.state.calls.size).toBe(1);
    ledger.apply({now: SLOW_MS + CALL_RECORD_TTL_MS, type: 'expire'});
    expect(ledger.state.calls.size).toBe(0);
  });
});
