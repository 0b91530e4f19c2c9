import fc from 'fast-check';
import {encodeValue} from 'stallpaddle';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

/**
 * The ledger beside its naive version, under resends, late and doubled reports, expiry, cancels and
 * restarts from a snapshot.
 */
import type {LedgerAnswer, LedgerCommand, LedgerState} from '../../LedgerTypes';

import {EMPTY_LEDGER, ledgerMachine} from '../../LedgerShard';
import {NaiveLedger} from './NaiveLedger';

const CUSTOMERS = ['ana', 'bea'] as const;
const LEASE_MS = 100;

/** The real ledger behind its replicated form, with the bulk data it wrote. */
class LedgerUnderTest {
  readonly blobs = new Map<number, Uint8Array>();
  state: LedgerState = EMPTY_LEDGER;

  apply(command: LedgerCommand): LedgerAnswer {
    const {blobs, result, state} = ledgerMachine.apply(this.state, encodeValue(command), 0);
    this.state = state;
    blobs.forEach(({payload, ref}) => this.blobs.set(ref.offset, payload));
    return result as LedgerAnswer;
  }

  restart(): void {
    this.state = ledgerMachine.decode(ledgerMachine.encode(this.state));
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

/** Runs one step on both ledgers and compares what they answered. */
class Comparison {
  readonly naive = new NaiveLedger();
  readonly real = new LedgerUnderTest();
  private created = 0;
  private now = 0;
  private readonly tokens: {
    readonly chunk: number;
    readonly jobId: string;
    readonly token: number;
  }[] = [];

  run(next: Step): void {
    switch (next.kind) {
      case 'cancel': {
        const jobId = [...this.naive.jobs.keys()][next.job];
        if (jobId !== undefined) {
          this.real.apply({customer: null, jobId, now: this.now, type: 'cancelJob'});
          this.naive.cancel(jobId);
        }
        break;
      }
      case 'create':
        this.create(next);
        break;
      case 'expire':
        this.now += next.ms;
        this.real.apply({now: this.now, type: 'expire'});
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
          const answer = this.real.apply({
            items: next.items,
            now: this.now,
            token,
            type: 'startItems',
          });
          expect(answer).toEqual({items: this.naive.start(token, next.items), kind: 'started'});
        }
        break;
      }
    }
    this.compare();
  }

  /** Leases and ends whatever is left. */
  finish(): void {
    for (let round = 0; round < 200; round++) {
      this.now += LEASE_MS * 2;
      this.real.apply({now: this.now, type: 'expire'});
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
    this.real.upload(fileId, owner, chunks, this.now);
    const command = createCommand({
      content: chunks.join(),
      customer: owner,
      fileId,
      jobId: `job-${number}`,
      key: key === null ? null : `key-${key}`,
      now: this.now,
      repeatable,
    });
    const answer = this.real.apply(command);
    const wanted = this.naive.create(command, chunks);
    expect(answer.kind === 'job' ? answer.jobId : answer.kind).toBe(wanted);
  }

  private lease(vm: string, most: number): void {
    const answer = this.real.apply({
      leaseMs: LEASE_MS,
      maxItems: most,
      models: ['m'],
      now: this.now,
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
      now: this.now,
      renew: renew ? [token] : [],
      reports: [report],
      type: 'report',
      vm,
    });
    const taken = this.naive.report(report);
    const lease = this.naive.leases.get(token);
    const renewed = renew && lease !== undefined;
    if (renewed) {
      lease.until = Math.max(lease.until, this.now + LEASE_MS);
    }
    const revoked = [...(taken ? [] : [token]), ...(renew && !renewed ? [token] : [])];
    expect(answer).toEqual({kind: 'reported', revoked});
  }

  private compare(): void {
    expect(this.real.state.leases.size).toBe(this.naive.leases.size);
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
    'does as its naive version does, and every item ends exactly once',
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

  test('refuses a key with other content, and keeps customers apart', () => {
    const ledger = new LedgerUnderTest();
    ledger.upload('file', 'ana', [1], 0);
    ledger.upload('bea-file', 'bea', [1], 0);
    const first = createCommand({jobId: 'one', key: 'k'});
    expect(ledger.apply(first)).toMatchObject({jobId: 'one', resent: false});
    expect(ledger.apply({...first, jobId: 'two'})).toMatchObject({jobId: 'one', resent: true});
    expect(ledger.apply({...first, content: 'other', jobId: 'three'})).toMatchObject({
      code: 'keyReused',
    });
    const stranger = createCommand({customer: 'bea', fileId: 'bea-file', jobId: 'four', key: 'k'});
    expect(ledger.apply(stranger)).toMatchObject({jobId: 'four', resent: false});
    expect(ledger.apply({...stranger, fileId: 'file', jobId: 'five', key: null})).toMatchObject({
      code: 'notFound',
    });
  });

  test('does not accept an upload that broke off, and lets its key be used again', () => {
    const ledger = new LedgerUnderTest();
    const part = {customer: 'ana', fileId: 'file', model: 'm', now: 0, type: 'appendFile' as const};
    const chunk = {items: 1, lines: Buffer.from('a\n')};
    ledger.apply({...part, chunks: [chunk], firstChunk: 0});
    ledger.apply({...part, chunks: [chunk], firstChunk: 0});
    expect(ledger.state.files.get('file')!.items).toBe(1);
    expect(ledger.apply({...part, chunks: [chunk], firstChunk: 2})).toMatchObject({
      code: 'conflict',
    });
    expect(ledger.apply(createCommand({key: 'k'}))).toMatchObject({code: 'notFound'});
    ledger.apply({now: 700_000, type: 'expire'});
    expect(ledger.state.files.has('file')).toBe(false);
    ledger.upload('again', 'ana', [1], 0);
    expect(ledger.apply(createCommand({fileId: 'again', key: 'k'}))).toMatchObject({kind: 'job'});
  });

  test('serves the customer that was served least, but first what is nearly due', () => {
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

  test('runs a call that must not repeat once, and gives a resend the first answer', () => {
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
