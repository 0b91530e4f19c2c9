/**
 * Guards against reads of many jobs at once starving each other: if all run at once, none finishes before its caller times
 * out and asks again.
 */
import type {JobsDispatcher, JobsRequest, JobsState, ResultsAnswer} from 'stallpaddle-jobs';
import type {TryOutcome} from 'stallpaddle-rpc';
import type {BlobRef} from 'stallpaddle-storage';

import {delay, encodeValue, RefusalError, seededRandom, systemClock} from 'stallpaddle';
import {jobsMachine} from 'stallpaddle-jobs';
import {NotLeaderError} from 'stallpaddle-replication';
import {describe, expect, test} from 'vitest';

import type {NodeGroup} from '../../NodeGroup';
import type {GroupCall} from '../../NodeGroupClient';

import {NodeJobReads} from '../../NodeJobReads';
import {NodeJobsHandler} from '../../NodeJobsHandler';

const JOBS = 120;
const ITEMS = 5;
/** Timeout of a caller, in milliseconds. */
const PATIENCE_MS = 300;
const DISPATCHER = {} as JobsDispatcher;

/** A state with jobs whose items have all ended. */
function stateOf(jobs: number): JobsState {
  let state = jobsMachine.initial();
  const apply = (change: unknown): void => {
    ({state} = jobsMachine.apply(state, encodeValue({change}), 0));
  };
  for (let job = 0; job < jobs; job++) {
    const items = Array.from({length: ITEMS}, (_, at) => ({
      body: Buffer.from('body'),
      headers: [],
      id: `i${job}-${at}`,
      path: '/',
      tokens: 1,
    }));
    const submission = {host: 'h', id: `j${job}`, items, path: '/', route: 'r'};
    apply({kind: 'submit', maxWaitingTokens: 0, submission});
    const ends = items.map((_, item) => ({
      after: 0,
      data: ['output'],
      item,
      job: `j${job}`,
      outcome: 'completed',
    }));
    apply({ends, kind: 'endItems'});
  }
  return state;
}

/** A replica that reads bulk data sequentially, at one millisecond per blob. */
function replicaOf(state: JobsState, leads: boolean, stalenessMs = 0) {
  let work: Promise<unknown> = Promise.resolve();
  const counts = {blobs: 0};
  const driver = {
    leads,
    localState: state,
    read: (): JobsState => {
      if (!leads) {
        throw new NotLeaderError('leader/1');
      }
      return state;
    },
    readBlob: (_ref: BlobRef): Promise<Uint8Array> => {
      counts.blobs++;
      const done = work.then(() => delay(1)).then(() => Buffer.from('output'));
      work = done;
      return done;
    },
    stalenessMs,
  };
  const group = {driver} as unknown as Pick<NodeGroup<JobsState>, 'driver'>;
  return {counts, desk: new NodeJobsHandler(systemClock, group, () => {})};
}

function readOf(job: string, changes: Partial<Extract<JobsRequest, {kind: 'readResults'}>> = {}) {
  return {
    from: 0,
    job,
    kind: 'readResults',
    mayFollow: true,
    patienceMs: PATIENCE_MS,
    waitMs: 0,
    ...changes,
  } as const satisfies JobsRequest;
}

describe('reads of jobs', () => {
  test('of all jobs at once are answered despite the callers’ timeouts', async () => {
    const {desk} = replicaOf(stateOf(JOBS), true);
    const endAt = systemClock.monotonicMs() + 4_000;
    const ask = async (job: string): Promise<boolean> => {
      while (systemClock.monotonicMs() < endAt) {
        const answer = desk.answer(readOf(job), DISPATCHER).then(
          () => true,
          () => false,
        );
        const timeout = delay(PATIENCE_MS).then(() => false);
        if (await Promise.race([answer, timeout])) {
          return true;
        }
        await timeout;
      }
      return false;
    };
    const answered = await Promise.all(Array.from({length: JOBS}, (_, at) => ask(`j${at}`)));
    expect(answered.filter((isAnswered) => isAnswered)).toHaveLength(JOBS);
  });

  test('are dropped once their caller has given up', async () => {
    const {counts, desk} = replicaOf(stateOf(JOBS), true);
    const reads = Array.from({length: JOBS}, (_, at) =>
      desk.answer(readOf(`j${at}`, {patienceMs: 20}), DISPATCHER).catch(() => null),
    );
    await Promise.all(reads);
    expect(counts.blobs).toBeLessThan((JOBS * ITEMS) / 2);
  });

  test('are answered by a follower from its own state', async () => {
    const {desk} = replicaOf(stateOf(1), false);
    const answer = (await desk.answer(readOf('j0'), DISPATCHER)) as ResultsAnswer;
    expect(answer).toMatchObject({kind: 'results', next: ITEMS, total: ITEMS});
    const body = {
      item: 'i0-0',
      job: 'j0',
      kind: 'readBody',
      mayFollow: true,
      patienceMs: 100,
    } as const;
    // The blob is not found here, and only the leader can tell that it does not exist.
    await expect(desk.answer(body, DISPATCHER)).rejects.toThrow(NotLeaderError);
  });

  test('that find no results are answered by a follower that is up to date as of the call', async () => {
    const before = jobsMachine.initial();
    const submission = {
      host: 'h',
      id: 'open',
      items: [{body: Buffer.from(''), headers: [], id: 'i', path: '/', tokens: 1}],
      path: '/',
      route: 'r',
    };
    const change = {kind: 'submit', maxWaitingTokens: 0, submission};
    const {state} = jobsMachine.apply(before, encodeValue({change}), 0);
    const {desk} = replicaOf(state, false, 50);
    await expect(desk.answer(readOf('open'), DISPATCHER)).rejects.toThrow(NotLeaderError);
    const held = await desk.answer(readOf('open', {waitMs: 100}), DISPATCHER);
    expect(held).toMatchObject({kind: 'results', results: [], total: 1});
  });

  test('go to the leader where a follower can’t be sure of its answer', async () => {
    const {desk} = replicaOf(stateOf(1), false, 5_000);
    await expect(desk.answer(readOf('other'), DISPATCHER)).rejects.toThrow(NotLeaderError);
    await expect(desk.answer(readOf('j0', {from: ITEMS + 1}), DISPATCHER)).rejects.toThrow(
      NotLeaderError,
    );
    await expect(desk.answer(readOf('j0', {mayFollow: false}), DISPATCHER)).rejects.toThrow(
      NotLeaderError,
    );
  });
});

/** A client of replicas with given answers. */
function clientOf(
  answers: Readonly<Record<string, TryOutcome>>,
  leader: unknown = 'from the leader',
) {
  const asked: string[] = [];
  const client = {
    call: <Answer>({totalMs}: GroupCall): Promise<Answer> => {
      asked.push('leader');
      return totalMs > 0
        ? Promise.resolve(leader as Answer)
        : Promise.reject(new RefusalError('unavailable', 'notRun', 'no time'));
    },
    hosts: () => Object.keys(answers),
    leaderHost: null,
    tryAt: (host: string): Promise<TryOutcome> => {
      asked.push(host);
      return Promise.resolve(answers[host]!);
    },
  };
  return {asked, client};
}

describe('where jobs are read', () => {
  const call = {from: 0, job: 'j', kind: 'readResults', waitMs: 0} as const;
  const noLog = {decide: () => {}};
  const answered = {kind: 'answered', result: 'from a replica'} as const;

  test('reads are spread over all replicas', async () => {
    const {asked, client} = clientOf({a: answered, b: answered, c: answered});
    const reads = new NodeJobReads(client, systemClock, noLog, seededRandom(1));
    for (let read = 0; read < 60; read++) {
      expect(await reads.read(call)).toBe('from a replica');
    }
    expect(new Set(asked)).toEqual(new Set(['a', 'b', 'c']));
  });

  test('an unreachable replica is skipped for a while, and its reads go to the leader', async () => {
    const {asked, client} = clientOf({a: {kind: 'unknown'}});
    const reads = new NodeJobReads(client, systemClock, noLog);
    expect(await reads.read(call)).toBe('from the leader');
    expect(await reads.read(call)).toBe('from the leader');
    expect(asked).toEqual(['a', 'leader', 'leader']);
  });

  test('a read that nobody answers is logged', async () => {
    const {client} = clientOf({});
    const logged: string[] = [];
    const log = {decide: (decision: string, id: string) => logged.push(`${decision} ${id}`)};
    const refusing = {
      ...client,
      call: () => Promise.reject(new RefusalError('unavailable', 'notRun', 'no leader')),
    };
    const reads = new NodeJobReads(refusing, systemClock, log);
    await expect(reads.read(call)).rejects.toThrow('no leader');
    expect(logged).toEqual(['jobUnavailable j']);
  });
});
