/**
 * The group's clock across changes of leader, and the log lines about jobs.
 */
import type {LogFields} from 'stallpaddle';
import type {JobsDispatcher, JobsState, Submission} from 'stallpaddle-jobs';

import {delay, type ReplicaId, silentLogger, systemClock} from 'stallpaddle';
import {jobsMachine} from 'stallpaddle-jobs';
import {startRpcServer} from 'stallpaddle-rpc';
import {CorruptionError} from 'stallpaddle-storage';
import {FakeDisk} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {NodeGroup} from '../../NodeGroup';
import {NodeJobsHandler} from '../../NodeJobsHandler';
import {NodePeers} from '../../NodePeers';
import {addNodeService} from '../../NodeService';

type Line = LogFields & {readonly decision: string; readonly job: string};

interface Replica {
  readonly handler: NodeJobsHandler;
  readonly disk: FakeDisk;
  readonly group: NodeGroup<JobsState>;
  /** Logged decisions about jobs. */
  readonly lines: readonly Line[];
}

const GROUP = 'jobs';
const PORT = 18_450;
const SUBMISSION: Submission = {
  host: '',
  id: 'job',
  items: [{body: Buffer.from('body of a'), headers: [], id: 'a', path: '/', tokens: 1}],
  path: '/',
  route: 'route',
};
const undo: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const step of undo.splice(0).reverse()) {
    await step();
  }
});

async function startReplica(id: ReplicaId, founders: readonly ReplicaId[]): Promise<Replica> {
  const disk = new FakeDisk();
  const peers = new NodePeers(PORT);
  const opened: {group?: NodeGroup<JobsState>} = {};
  const rpc = await startRpcServer(id.split('/')[0]!, PORT, peers.key, (router) =>
    addNodeService(router, {
      answer: () => null,
      group: GROUP,
      onFailure: () => {},
      replica: () => opened.group?.driver,
    }),
  );
  const group = await NodeGroup.open<JobsState>({
    candidates: () => [],
    clock: systemClock,
    disk,
    founders,
    group: GROUP,
    logger: silentLogger,
    lostDisks: 1,
    machine: jobsMachine,
    onFailure: () => {},
    peers,
    self: id,
  });
  opened.group = group;
  undo.push(async () => {
    await group.close();
    peers.close();
    await rpc.stop();
  });
  const lines: Line[] = [];
  const handler = new NodeJobsHandler(systemClock, group, (decision, job, fields) => {
    lines.push({decision, job, ...fields});
  });
  return {disk, group, handler, lines};
}

async function leaderOf(
  replicas: readonly Replica[],
  isWanted: (replica: Replica) => boolean = () => true,
): Promise<Replica> {
  for (let tries = 0; tries < 1_000; tries++) {
    const leader = replicas.find(({group}) => group.driver.leads);
    if (leader !== undefined && isWanted(leader)) {
      return leader;
    }
    await delay(10);
  }
  throw new Error('nobody leads');
}

/** Ticks the group's clock for a time, as a dispatcher does. */
async function tickFor({handler}: Replica, ms: number): Promise<void> {
  const end = systemClock.monotonicMs() + ms;
  while (systemClock.monotonicMs() < end) {
    await handler.propose({kind: 'tick'});
    await delay(20);
  }
}

/** Options of the reads in these tests. */
const TERMS = {mayFollow: false, patienceMs: 1_000};

describe('NodeJobsHandler', () => {
  test('the group’s clock never runs ahead of real time across changes of leader', async () => {
    const ids = [1, 2, 3].map((number) => `127.0.8.${number}/first`);
    const replicas = await Promise.all(ids.map((id) => startReplica(id, ids)));
    const startedAt = systemClock.monotonicMs();
    let last = await leaderOf(replicas);
    for (let turn = 0; turn < 6; turn++) {
      await tickFor(last, 200);
      const before = last;
      before.group.driver.transferLeadership();
      last = await leaderOf(replicas, (replica) => replica !== before);
    }
    await tickFor(last, 200);
    const passedMs = systemClock.monotonicMs() - startedAt;
    const {clockMs} = last.group.driver.localState;
    expect(clockMs).toBeLessThanOrEqual(passedMs);
    // It does advance while there is a leader.
    expect(clockMs).toBeGreaterThan(700);
  });

  test('logs which replicas hold a job, that a job is unknown, and that its data is damaged', async () => {
    const ids = [1, 2, 3].map((number) => `127.0.8.${number + 3}/first`);
    const replicas = await Promise.all(ids.map((id) => startReplica(id, ids)));
    const {disk, group, handler, lines} = await leaderOf(replicas);
    const dispatcher = {} as JobsDispatcher;
    await handler.answer({kind: 'submit', maxWaitingTokens: 0, submission: SUBMISSION}, dispatcher);
    expect(lines.at(-1)).toMatchObject({answer: 'accepted', decision: 'jobRecorded', job: 'job'});
    const holders = String(lines.at(-1)?.holders).split(',');
    expect(holders.length).toBeGreaterThanOrEqual(2);
    expect(ids).toEqual(expect.arrayContaining(holders));
    expect(lines.at(-1)?.index).toBe(group.driver.status.commit);
    await handler.answer({...TERMS, item: 'a', job: 'none', kind: 'readBody'}, dispatcher);
    expect(lines.at(-1)).toMatchObject({decision: 'jobNotFound', job: 'none', known: false});
    const {body} = group.driver.localState.jobs.get('job')!.items[0]!;
    // The body is read from memory until it is written.
    while (disk.sizeOf('blobs-0000000000000000') <= body.offset + body.length) {
      await delay(5);
    }
    await delay(50);
    disk.flip('blobs-0000000000000000', body.offset + body.length);
    const read = handler.answer({...TERMS, item: 'a', job: 'job', kind: 'readBody'}, dispatcher);
    await expect(read).rejects.toBeInstanceOf(CorruptionError);
    expect(lines.at(-1)).toMatchObject({decision: 'jobUnreadable', job: 'job'});
  });
});
