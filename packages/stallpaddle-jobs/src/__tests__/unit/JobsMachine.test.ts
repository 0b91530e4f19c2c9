/** State machine of batch jobs: repeated and reordered commands, compared with a naive model. */
import fc from 'fast-check';
import {decodeValue, encodeValue} from 'stallpaddle';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {ItemEnd, JobsAnswer, JobsChange, JobsState, Submission} from '../../JobsTypes';

import {jobsMachine, updateJobs} from '../../JobsMachine';
import {findBody, findResults, joinOutput} from '../../JobsQueries';

const EMPTY = jobsMachine.initial();
const MOST = 100;

function submissionOf(id: string, items: number, tokens = 10): Submission {
  return {
    host: 'h',
    id,
    items: Array.from({length: items}, (_, at) => ({
      body: Buffer.from(`${id}${at}`),
      headers: [],
      id: `${id}-${at}`,
      path: '/p',
      tokens,
    })),
    path: '/p',
    route: 'r',
  };
}

function submit(id: string, items: number, tokens = 10): JobsChange {
  return {kind: 'submit', maxWaitingTokens: MOST, submission: submissionOf(id, items, tokens)};
}

function end(job: string, item: number, text: string): JobsChange {
  return {
    ends: [{after: 0, data: [text], item, job, outcome: 'completed'}],
    kind: 'endItems',
  };
}

function run(state: JobsState, ...changes: readonly JobsChange[]) {
  const answers: unknown[] = [];
  for (const change of changes) {
    const step = updateJobs(state, {change}, 1);
    answers.push(step.result);
    ({state} = step);
  }
  return {answers, state};
}

function submitAs(customer: string, id: string, items: number): JobsChange {
  const submission = {...submissionOf(id, items), customer};
  return {kind: 'submit', maxWaitingTokens: MOST, submission};
}

describe('jobs of customers', () => {
  test('are visible to their own customer only', () => {
    const {state} = run(EMPTY, submitAs('one', 'a', 2));
    const found = ['one', 'two', undefined].map((customer) => [
      findResults(state, {customer, job: 'a'}, 0, 1)?.total,
      findBody(state, {customer, job: 'a'}, 'a-0') !== undefined,
    ]);
    expect(found).toEqual([
      [2, true],
      [undefined, false],
      [undefined, false],
    ]);
  });

  test('can be cancelled by their own customer only; for others the job is unknown', () => {
    const other = {customer: 'two', job: 'a', kind: 'endJob'} as const;
    const {answers, state} = run(EMPTY, submitAs('one', 'a', 2), other);
    expect(answers[1]).toEqual({kind: 'unknownJob'});
    expect(state.open.size).toBe(1);
    expect(run(state, {...other, customer: 'one'}).state.open.size).toBe(0);
  });

  test('may have the same name', () => {
    const {answers, state} = run(EMPTY, submitAs('one', 'a', 2), submitAs('two', 'a', 3));
    expect(answers).toEqual([
      {kind: 'accepted', repeated: false},
      {kind: 'accepted', repeated: false},
    ]);
    const totals = ['one', 'two'].map(
      (customer) => findResults(state, {customer, job: 'a'}, 0, 1)?.total,
    );
    expect(totals).toEqual([2, 3]);
  });

  test('are not found by their id within the group', () => {
    const {state} = run(EMPTY, submitAs('one', 'a', 2));
    const [name] = state.jobs.keys();
    expect(findResults(state, {job: name!}, 0, 1)).toBeUndefined();
    expect(findResults(state, {customer: 'two', job: name!}, 0, 1)).toBeUndefined();
  });

  test('count waiting tokens per customer and release them when they end', () => {
    const {answers, state} = run(
      EMPTY,
      submitAs('one', 'a', 9),
      submitAs('two', 'b', 9),
      submitAs('one', 'c', 2),
      submitAs('one', 'a', 9),
    );
    expect(answers.map((answer) => (answer as JobsAnswer).kind)).toEqual([
      'accepted',
      'accepted',
      'overQuota',
      'accepted',
    ]);
    const ended = run(state, {customer: 'one', job: 'a', kind: 'endJob'}, submitAs('one', 'c', 9));
    expect(ended.answers[1]).toMatchObject({kind: 'accepted'});
    expect([...ended.state.waitingTokens.values()]).toEqual([90, 90]);
  });

  test('submitted without a customer are visible to every customer', () => {
    const {state} = run(EMPTY, submit('a', 2));
    expect(findResults(state, {customer: 'one', job: 'a'}, 0, 1)?.total).toBe(2);
    const {answers} = run(state, submitAs('one', 'a', 2));
    expect(answers).toEqual([{kind: 'accepted', repeated: true}]);
  });
});

describe('updateJobs', () => {
  test('accepts a job once and reports repeated submissions', () => {
    const {answers, state} = run(EMPTY, submit('a', 2), submit('a', 2));
    expect(answers).toEqual([
      {kind: 'accepted', repeated: false},
      {kind: 'accepted', repeated: true},
    ] satisfies JobsAnswer[]);
    expect(state.waitingTokens.get('r')).toBe(20);
  });

  test('keeps nothing of a job that exceeds the quota', () => {
    const {answers, state} = run(EMPTY, submit('a', 9), submit('b', 2));
    expect(answers[1]).toEqual({kind: 'overQuota', waitingTokens: 90});
    expect(state.jobs.has('b')).toBe(false);
    expect(run(state, end('a', 0, 'x'), submit('b', 2)).answers[1]).toMatchObject({
      kind: 'accepted',
    });
  });

  test('records an item once, with its first text, at a fixed position', () => {
    const {state} = run(
      EMPTY,
      submit('a', 2),
      end('a', 1, 'one'),
      end('a', 1, 'two'),
      end('a', 0, 'x'),
    );
    const found = findResults(state, {job: 'a'}, 0, 1e6)!;
    expect(found.results.map(({id, texts}) => [id, texts.map(({length}) => length)])).toEqual([
      ['a-1', [3]],
      ['a-0', [1]],
    ]);
    expect(state.open.size).toBe(0);
  });

  test('records no results of a cancelled job and releases its tokens', () => {
    const {state} = run(EMPTY, submit('a', 2), {job: 'a', kind: 'endJob'}, end('a', 0, 'x'));
    expect(findResults(state, {job: 'a'}, 0, 1e6)?.results).toEqual([]);
    expect(state.waitingTokens.get('r')).toBeUndefined();
    expect(findBody(state, {job: 'a'}, 'a-0')).toBeUndefined();
  });

  test('stores the parts of an output once and in order', () => {
    const part = (after: number, events: number, text: string): JobsChange => ({
      kind: 'saveProgress',
      parts: [
        {
          after,
          events,
          item: 0,
          job: 'a',
          lastEvent: String(after + events),
          text: Buffer.from(text),
        },
      ],
    });
    const {state} = run(
      EMPTY,
      submit('a', 1),
      part(0, 2, 'one'),
      part(0, 2, 'one'),
      part(3, 1, 'x'),
    );
    expect(state.jobs.get('a')!.items[0]!.progress).toMatchObject({events: 2, lastEvent: '2'});
    const next = run(state, part(2, 4, 'two'));
    expect(next.state.jobs.get('a')!.items[0]!.progress).toMatchObject({events: 6, lastEvent: '6'});
    expect(next.state.jobs.get('a')!.items[0]!.progress!.parts.map(({length}) => length)).toEqual([
      3, 3,
    ]);
    const ended = run(next.state, end('a', 0, 'whole'), part(6, 1, 'late'));
    expect(ended.state.jobs.get('a')!.items[0]!.progress).toBeNull();
  });

  test('an output that begins anew replaces the recorded one, and what is late of that is dropped', () => {
    const save = (after: number, events: number, restarts: number): JobsChange => {
      const part = {after, events, item: 0, job: 'a', lastEvent: '', restarts};
      return {kind: 'saveProgress', parts: [{...part, text: Buffer.from('x'.repeat(events))}]};
    };
    const finish = (after: number, restarts: number, data: readonly string[]): JobsChange => ({
      ends: [{after, data, item: 0, job: 'a', outcome: 'completed', restarts}],
      kind: 'endItems',
    });
    const before = run(EMPTY, submit('a', 1), save(0, 4, 0)).state;
    const anew = run(before, save(0, 2, 1), save(4, 1, 0), save(2, 1, 0), finish(4, 0, ['old']));
    const {outcome, progress} = anew.state.jobs.get('a')!.items[0]!;
    expect(outcome).toBeNull();
    expect(progress).toMatchObject({events: 2, restarts: 1});
    expect(progress!.parts.map(({length}) => length)).toEqual([2]);
    const ended = run(before, finish(0, 1, ['n', 'e', 'w'])).state;
    const [result] = findResults(ended, {job: 'a'}, 0, 1e6)!.results;
    expect(result!.texts.map(({length}) => length)).toEqual(['n\ne\nw'.length]);
  });

  test('joins recorded progress and the end of an item without gaps or repeats, whatever progress the end assumed', () => {
    const events = fc.array(fc.stringMatching(/^[a-z\n]{0,3}$/), {maxLength: 12});
    const property = fc.property(
      events,
      fc.array(fc.nat(12)),
      fc.nat(12),
      (all, positions, assumed) => {
        const blobs = new Map<number, Uint8Array>();
        const apply = (state: JobsState, change: JobsChange): JobsState => {
          const step = updateJobs(state, {change}, 1);
          step.blobs.forEach(({payload, ref}) => blobs.set(ref.offset, payload));
          return step.state;
        };
        const splits = [
          ...new Set(positions.map((position) => Math.min(position, all.length))),
        ].sort((a, b) => a - b);
        let [state, after] = [apply(EMPTY, submit('a', 1)), 0];
        for (const split of splits.filter((position) => position > 0)) {
          const text = Buffer.from(all.slice(after, split).join('\n'));
          const part = {after, events: split - after, item: 0, job: 'a', lastEvent: '', text};
          state = apply(state, {kind: 'saveProgress', parts: [part]});
          after = split;
        }
        const known = Math.min(assumed, after);
        const last = {after: known, data: all.slice(known), item: 0, job: 'a'};
        state = apply(state, {ends: [{...last, outcome: 'completed'}], kind: 'endItems'});
        const [result] = findResults(state, {job: 'a'}, 0, 1e6)!.results;
        const output = joinOutput(result!.texts.map(({offset}) => blobs.get(offset)!));
        expect(Buffer.from(output).toString()).toBe(all.join('\n'));
      },
    );
    fc.assert(property, {numRuns: 500});
  });

  test('ignores an end that follows unrecorded events', () => {
    const last = {after: 3, data: ['x'], item: 0, job: 'a', outcome: 'completed'} as const;
    const {state} = run(EMPTY, submit('a', 1), {ends: [last], kind: 'endItems'});
    expect(findResults(state, {job: 'a'}, 0, 1e6)!.results).toEqual([]);
  });

  test('matches a naive model for any history of repeated commands', async () => {
    const job = fc.constantFrom('a', 'b', 'c');
    const change = fc.oneof(
      fc.tuple(job, fc.integer({max: 5, min: 1})).map(([id, items]) => submit(id, items)),
      fc
        .tuple(job, fc.nat(4), fc.stringMatching(/^[a-z]{0,4}$/))
        .map(([id, at, text]) => end(id, at, text)),
      job.map((id): JobsChange => ({job: id, kind: 'endJob'})),
      fc
        .tuple(job, fc.nat(4))
        .map(([id, item]): JobsChange => ({item, job: id, kind: 'countFailure'})),
    );
    const property = fc.property(fc.array(change, {maxLength: 30}), (changes) => {
      const naive = new Map<string, {ended: boolean; listed: string[]; open: Set<number>}>();
      let state = EMPTY;
      for (const next of changes) {
        const before = state;
        ({state} = run(state, next));
        if (
          next.kind === 'submit' &&
          !naive.has(next.submission.id) &&
          state.jobs.has(next.submission.id)
        ) {
          const open = new Set(next.submission.items.keys());
          naive.set(next.submission.id, {ended: false, listed: [], open});
        } else if (next.kind === 'endItems') {
          const [{data, item, job: id}] = next.ends as readonly [ItemEnd];
          const known = naive.get(id);
          if (known !== undefined && !known.ended && known.open.delete(item)) {
            known.listed.push(`${id}-${item} ${data[0]!.length}`);
          }
        } else if (next.kind === 'endJob' && naive.has(next.job)) {
          naive.get(next.job)!.ended = true;
        }
        let waiting = 0;
        for (const [id, {ended, listed, open}] of naive) {
          const found = findResults(state, {job: id}, 0, 1e9)!;
          expect(found.results.map((result) => `${result.id} ${result.texts[0]!.length}`)).toEqual(
            listed,
          );
          waiting += ended ? 0 : open.size * 10;
          expect(state.open.has(id)).toBe(!ended && open.size > 0);
        }
        expect(state.waitingTokens.get('r') ?? 0).toBe(waiting);
        expect(waiting).toBeLessThanOrEqual(MOST);
        expect(state.blobEnd).toBeGreaterThanOrEqual(before.blobEnd);
      }
      const copy = jobsMachine.decode(jobsMachine.encode(state));
      expect(decodeValue(jobsMachine.encode(copy))).toEqual(decodeValue(jobsMachine.encode(state)));
    });
    await assertHistories('histories of jobs', property, 300);
  });

  test('stores bulk data at the same offsets on all replicas', () => {
    const changes = [submit('a', 2), end('a', 0, 'text')];
    const command = (change: JobsChange) => encodeValue({change});
    const replicas = [EMPTY, EMPTY].map((state) =>
      changes.reduce((at, change) => jobsMachine.apply(at, command(change), 1).state, state),
    );
    expect(replicas[0]!.jobs.get('a')!.results.get(0)).toEqual(
      replicas[1]!.jobs.get('a')!.results.get(0),
    );
  });
});
