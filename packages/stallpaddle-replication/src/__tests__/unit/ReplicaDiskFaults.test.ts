/**
 * Failed and slow writes and syncs, overlapping snapshot transfers, and power loss. Guards against a snapshot that
 * refers to bytes that never reached the disk, and against a state that lacks committed commands.
 */
import type {ReplicaId} from 'stallpaddle';

import {delay, silentLogger, systemClock} from 'stallpaddle';
import {bulkOf, FakeDisk, listMachine, type ListState} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {SnapshotSource} from '../../ReplicaOptions';
import type {
  EntryPayload,
  GroupMembers,
  Message,
  MessageBody,
  SnapshotMeta,
} from '../../ReplicationTypes';

import {ReplicaDriver} from '../../ReplicaDriver';
import {ReplicaStorage} from '../../ReplicaStorage';

type Driver = ReplicaDriver<ListState>;

const SELF = 'vm/1';
const LEADER = 'vm/2';
const ALONE: GroupMembers = {learners: [], voters: [SELF]};
const TWO: GroupMembers = {learners: [], voters: [SELF, LEADER]};
const WITH_LEARNER: GroupMembers = {learners: ['vm/9'], voters: [SELF]};
const TIMING = {electionTimeoutMs: 20, heartbeatMs: 4, leaseDriftFraction: 0.2};
const SNAPSHOT_LOG_BYTES = 2_000;
const DISK_FULL = new Error('no space left on device');

/** Blocks operations until it is opened. */
function gate(): {readonly open: () => void; readonly opened: Promise<void>} {
  let open = (): void => {};
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return {open, opened};
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await delay(1);
  }
}

async function formed(members: GroupMembers): Promise<FakeDisk> {
  const disk = new FakeDisk();
  await ReplicaStorage.initialize(disk, listMachine.encode(listMachine.initial()), members);
  return disk;
}

/** Texts whose bulk data is missing or differs from what was written. */
async function unreadable(driver: Driver): Promise<readonly string[]> {
  const bad: string[] = [];
  for (const {ref, text} of driver.localState.items) {
    if (ref === null) {
      continue;
    }
    const read = await driver.readBlob(ref).catch(() => undefined);
    if (read === undefined || !bulkOf(text).equals(read)) {
      bad.push(text);
    }
  }
  return bad;
}

function texts(driver: Driver): readonly string[] {
  return driver.localState.items.map(({text}) => text);
}

function message(term: number, body: MessageBody): Message {
  return {body, from: LEADER, group: 'g', term, to: SELF};
}

/** An append of texts after an index, all of them committed. */
function append(term: number, prevIndex: number, prevTerm: number, added: readonly string[]) {
  const entries = added.map((text, at) => ({
    index: prevIndex + 1 + at,
    payload: {data: Buffer.from(text), kind: 'command'} satisfies EntryPayload,
    term,
  }));
  const commit = prevIndex + added.length;
  return message(term, {commit, entries, kind: 'append', prevIndex, prevTerm, sentAt: 0});
}

describe('a replica and its disk', () => {
  const opened: Driver[] = [];
  let failure: unknown;
  let sources: SnapshotSource[] = [];

  async function start(disk: FakeDisk, snapshotLogBytes = SNAPSHOT_LOG_BYTES): Promise<Driver> {
    const driver = await ReplicaDriver.open({
      clock: systemClock,
      disk,
      group: 'g',
      logger: silentLogger,
      machine: listMachine,
      onFailure: (err) => {
        failure = err;
      },
      self: SELF,
      snapshotLogBytes,
      timing: TIMING,
      transport: {
        send: () => {},
        sendSnapshot: (_to, source) => {
          sources.push(source);
          return Promise.resolve(false);
        },
      },
    });
    opened.push(driver);
    return driver;
  }

  async function lead(disk: FakeDisk, snapshotLogBytes?: number): Promise<Driver> {
    const driver = await start(disk, snapshotLogBytes);
    await until(() => driver.leads);
    return driver;
  }

  async function fill(driver: Driver, prefix: string, count: number): Promise<void> {
    for (let number = 0; number < count; number++) {
      await driver.propose(Buffer.from(`${prefix}${number}`));
    }
  }

  /** Adds learners and waits until a snapshot is taken for them. */
  async function join(driver: Driver, learners: readonly ReplicaId[]): Promise<void> {
    const {length} = sources;
    await driver.changeMembers({learners, voters: [SELF]});
    await until(() => sources.length > length);
  }

  /** Restarts the replica after losing all unsynced content and file names. */
  async function losePower(driver: Driver, disk: FakeDisk): Promise<Driver> {
    disk.endProcess();
    await driver.close().catch(() => {});
    disk.restart();
    return start(disk);
  }

  afterEach(async () => {
    await Promise.all(opened.splice(0).map((driver) => driver.close().catch(() => {})));
    failure = undefined;
    sources = [];
  });

  test('an accepted job survives in the next snapshot after an aborted transfer', async () => {
    // An aborted transfer must not clear the record that the bytes of the job are unsynced.
    const disk = await formed(ALONE);
    const driver = await lead(disk, Infinity);
    await fill(driver, 'early ', 20);
    await join(driver, ['vm/8']);
    await driver.propose(Buffer.from('job'));
    const meta = {index: 9_999, members: ALONE, term: 99};
    const end = await driver.beginInstall(meta, 99);
    await driver.installBlobs(end!, Buffer.from('half of a transfer'));
    await driver.beginInstall(meta, 99);
    await join(driver, ['vm/8', 'vm/9']);
    const restarted = await losePower(driver, disk);
    expect(texts(restarted)).toContain('job');
    expect(await unreadable(restarted)).toEqual([]);
  });

  test('a snapshot never refers to bulk data whose write failed', async () => {
    // After a failed write, no snapshot may be saved, because it would replace the log that still holds the bytes.
    const disk = await formed(ALONE);
    const driver = await lead(disk);
    await fill(driver, 'early ', 5);
    const slow = gate();
    disk.onAppend = async (name) => {
      if (name.startsWith('blobs-')) {
        await slow.opened;
        throw DISK_FULL;
      }
    };
    const job = driver.propose(Buffer.from('job'));
    await job.catch(() => {});
    await driver.changeMembers(WITH_LEARNER).catch(() => {});
    slow.open();
    await until(() => failure !== undefined);
    await driver.close();
    expect(failure).toBe(DISK_FULL);
    disk.onAppend = () => Promise.resolve();
    const restarted = await start(disk);
    expect(texts(restarted)).toContain('job');
    expect(await unreadable(restarted)).toEqual([]);
  });

  test('a replica stops when the sync of a snapshot for another replica fails', async () => {
    // A failed sync must not be treated as a failed transfer: the next snapshot would refer to lost bytes.
    const disk = await formed(ALONE);
    const driver = await lead(disk, Infinity);
    await fill(driver, 'early ', 5);
    disk.onSync = async (name) => {
      disk.failSyncs = name.startsWith('blobs-');
    };
    await driver.changeMembers(WITH_LEARNER).catch(() => {});
    await until(() => disk.failSyncs);
    await delay(5);
    expect(failure).toMatchObject({message: 'the sync failed'});
    expect(driver.leads).toBe(false);
  });

  test('entries received while a snapshot is saved are not lost', async () => {
    // Otherwise the state would be reset to the snapshot while the log is ahead of it, and the entries in between would
    // never be applied.
    const disk = await formed(TWO);
    const driver = await start(disk);
    driver.receive(append(1, 0, 0, ['one']));
    const other = await lead(await formed(ALONE), Infinity);
    const all = ['one', 'two', 'three', 'four'];
    for (const text of all) {
      await other.propose(Buffer.from(text));
    }
    const {items} = other.localState;
    const at3 = {blobEnd: items[3]!.ref!.offset, items: items.slice(0, 3)};
    const meta = {index: 3, members: TWO, term: 1};
    const offset = await driver.beginInstall(meta, 1);
    await copyBulk(other, driver, offset!, at3.blobEnd);
    const slow = gate();
    disk.onSync = (name) => (name.startsWith('blobs-') ? slow.opened : Promise.resolve());
    const finished = driver.finishInstall({machine: listMachine.encode(at3), meta}, 1);
    await delay(5);
    driver.receive(append(1, 1, 1, all.slice(1)));
    await delay(5);
    slow.open();
    await finished;
    expect(texts(driver)).toHaveLength(driver.status.applied);
    // A retransmission, as from a leader that received no reply.
    driver.receive(append(1, 3, 1, all.slice(3)));
    await delay(5);
    expect(failure).toBeUndefined();
    expect(texts(driver)).toEqual(all);
    expect(driver.status.applied).toBe(all.length);
    expect(await unreadable(driver)).toEqual([]);
    const restarted = await losePower(driver, disk);
    expect(restarted.status.log.lastIndex).toBe(all.length);
    expect(await unreadable(restarted)).toEqual([]);
  });

  test('entries applied while a snapshot is saved do not truncate its bulk data', async () => {
    const disk = await formed(TWO);
    const driver = await start(disk);
    const {all, meta, other} = await transferred(driver);
    const slow = gate();
    disk.onSync = (name) => (name.startsWith('blobs-') ? slow.opened : Promise.resolve());
    const finished = driver.finishInstall({machine: listMachine.encode(other.localState), meta}, 1);
    await delay(2);
    driver.receive(append(1, 0, 0, all.slice(0, 2)));
    await delay(2);
    slow.open();
    expect(await finished).toBe(true);
    expect(texts(driver)).toEqual(all);
    expect(await unreadable(driver)).toEqual([]);
    const restarted = await losePower(driver, disk);
    expect(texts(restarted)).toEqual(all);
    expect(await unreadable(restarted)).toEqual([]);
  });

  test('a transfer started while a snapshot is saved does not truncate its bulk data', async () => {
    // The second of two concurrent transfers starts from the state before the first and is aborted.
    const disk = await formed(TWO);
    const driver = await start(disk);
    const {all, meta, other} = await transferred(driver);
    const slow = gate();
    disk.onSync = (name) => (name.startsWith('blobs-') ? slow.opened : Promise.resolve());
    const finished = driver.finishInstall({machine: listMachine.encode(other.localState), meta}, 1);
    await delay(2);
    const begun = driver.beginInstall({...meta, index: meta.index + 1}, 1);
    await delay(2);
    slow.open();
    expect(await finished).toBe(true);
    await begun;
    expect(texts(driver)).toEqual(all);
    expect(await unreadable(driver)).toEqual([]);
    const restarted = await losePower(driver, disk);
    expect(await unreadable(restarted)).toEqual([]);
  });

  test('a stopped replica accepts no part of a transfer', async () => {
    // Another instance may have opened the same files.
    const disk = await formed(TWO);
    const driver = await start(disk);
    const meta = {index: 4, members: TWO, term: 1};
    const offset = await driver.beginInstall(meta, 1);
    await driver.close();
    await expect(driver.installBlobs(offset!, Buffer.from('piece'))).rejects.toThrow(
      'the replica has stopped',
    );
    await expect(driver.beginInstall(meta, 1)).rejects.toThrow('the replica has stopped');
    expect(await disk.list()).not.toContain('blobs-0000000000000000');
  });

  test('a local snapshot due while a received one is installed never replaces it', async () => {
    const disk = await formed(TWO);
    const driver = await start(disk, 0);
    const {all, meta, other} = await transferred(driver);
    const slow = gate();
    disk.onSync = (name) => (name.startsWith('blobs-') ? slow.opened : Promise.resolve());
    const snapshot = {machine: listMachine.encode(other.localState), meta};
    const finished = driver.finishInstall(snapshot, 1);
    await delay(2);
    // The size limit of the log is 0, so this append makes a snapshot due at once.
    driver.receive(append(1, 0, 0, all.slice(0, 2)));
    await delay(2);
    slow.open();
    expect(await finished).toBe(true);
    await delay(10);
    expect(failure).toBeUndefined();
    const restarted = await losePower(driver, disk);
    expect(restarted.status.applied).toBe(meta.index);
    expect(texts(restarted)).toEqual(all);
    expect(await unreadable(restarted)).toEqual([]);
  });

  /** Another replica, whose bulk data was copied to the driver; only the snapshot itself is still to be installed. */
  async function transferred(driver: Driver): Promise<{
    readonly all: readonly string[];
    readonly meta: SnapshotMeta;
    readonly other: Driver;
  }> {
    const other = await lead(await formed(ALONE), Infinity);
    const all = ['one', 'two', 'three', 'four'];
    for (const text of all) {
      await other.propose(Buffer.from(text));
    }
    const meta = {index: 40, members: TWO, term: 1};
    const offset = await driver.beginInstall(meta, 1);
    await copyBulk(other, driver, offset!, other.localState.blobEnd);
    return {all, meta, other};
  }

  /** Copies raw bulk data from one replica to another. */
  async function copyBulk(from: Driver, to: Driver, offset: number, end: number): Promise<void> {
    await from.changeMembers(WITH_LEARNER);
    await until(() => sources.length > 0);
    const piece = await sources[0]!.readBlobs(offset, end - offset);
    expect(await to.installBlobs(piece.offset, piece.bytes)).toBe(end);
  }
});
