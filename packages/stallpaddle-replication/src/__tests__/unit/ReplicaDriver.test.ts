import {decodeValue, delay, encodeValue, silentLogger, systemClock} from 'stallpaddle';
import {type BlobRef, encodeRecord, placeBlob} from 'stallpaddle-storage';
import {FakeDisk} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

/** The driver on a fake disk: restarts, snapshots, and slow or failing syncs. */
import type {ReplicaMachine} from '../../ReplicaMachine';
import type {ReplicaTransport} from '../../ReplicaOptions';

import {ReplicaDriver} from '../../ReplicaDriver';
import {ReplicaStorage} from '../../ReplicaStorage';

const SELF = 'vm/1';
const TIMING = {electionTimeoutMs: 20, heartbeatMs: 4, leaseDriftFraction: 0.2};
const SNAPSHOT_LOG_BYTES = 2_000;
const TEXTS = ['one', 'two', 'three'];

interface ListState {
  readonly blobEnd: number;
  readonly texts: readonly string[];
}

/** State machine that keeps a list of texts, each with bulk data. */
const listMachine: ReplicaMachine<ListState> = {
  apply: (state, command) => {
    const text = Buffer.from(command).toString();
    const payload = Buffer.from(`bulk of ${text}`);
    const {end, ref} = placeBlob(state.blobEnd, payload.length);
    return {
      blobs: [{payload, ref}],
      result: ref,
      state: {blobEnd: end, texts: [...state.texts, text]},
    };
  },
  blobEnd: (state) => state.blobEnd,
  decode: (bytes) => decodeValue<ListState>(bytes),
  encode: (state) => encodeValue(state),
  initial: () => ({blobEnd: 0, texts: []}),
};

describe('ReplicaDriver', () => {
  const opened: ReplicaDriver<ListState>[] = [];
  let failure: unknown;
  /** Drops all messages and snapshots. */
  const transport: {-readonly [Key in keyof ReplicaTransport]: ReplicaTransport[Key]} = {
    send: () => {},
    sendSnapshot: () => Promise.resolve(false),
  };

  async function start(disk: FakeDisk, self = SELF): Promise<ReplicaDriver<ListState>> {
    const driver = await ReplicaDriver.open({
      clock: systemClock,
      disk,
      group: 'g',
      logger: silentLogger,
      machine: listMachine,
      onFailure: (err) => {
        failure = err;
      },
      self,
      snapshotLogBytes: SNAPSHOT_LOG_BYTES,
      timing: TIMING,
      transport,
    });
    opened.push(driver);
    return driver;
  }

  async function open(disk: FakeDisk): Promise<ReplicaDriver<ListState>> {
    const driver = await start(disk);
    while (!driver.leads) {
      await delay(1);
    }
    return driver;
  }

  async function formed(): Promise<FakeDisk> {
    const disk = new FakeDisk();
    const first = listMachine.encode(listMachine.initial());
    await ReplicaStorage.initialize(disk, first, {learners: [], voters: [SELF]});
    return disk;
  }

  afterEach(async () => {
    await Promise.all(opened.splice(0).map((driver) => driver.close()));
    failure = undefined;
  });

  test('restores the known committed state after a restart, before any election', async () => {
    const disk = await formed();
    const driver = await open(disk);
    await driver.propose(Buffer.from('one'));
    await delay(400);
    await driver.close();
    disk.restart();
    const restarted = await start(disk);
    expect(restarted.status.role.kind).toBe('follower');
    expect(restarted.localState.texts).toEqual(['one']);
  });

  test('recovers every acknowledged command after many snapshots with a short replay', async () => {
    const disk = await formed();
    const driver = await open(disk);
    const refs = [];
    for (let number = 0; number < 300; number++) {
      refs.push(await driver.propose(Buffer.from(`text ${number}`)));
    }
    await driver.close();
    disk.restart();
    const restarted = await open(disk);
    expect(restarted.localState.texts).toHaveLength(300);
    expect(restarted.replayed).toBeLessThan(100);
    const last = await restarted.readBlob(refs[299] as {length: number; offset: number});
    expect(Buffer.from(last).toString()).toBe('bulk of text 299');
  });

  test('keeps committing while a snapshot waits for a slow disk', async () => {
    const disk = await formed();
    let waiting = 0;
    let release = (): void => {};
    const gate = new Promise<void>((resolve) => {
      release = resolve;
    });
    disk.onSync = async (name) => {
      if (name.startsWith('blobs-')) {
        waiting++;
        await gate;
      }
    };
    const driver = await open(disk);
    for (let number = 0; number < 200; number++) {
      await driver.propose(Buffer.from(`text ${number}`));
    }
    expect(waiting).toBe(1);
    expect(driver.status.log.snapshot.index).toBe(0);
    release();
    while (driver.status.log.snapshot.index === 0) {
      await delay(1);
    }
    expect(driver.localState.texts).toHaveLength(200);
  }, 15_000);

  test('installs a snapshot only with complete bulk data, and has synced all of it before confirming', async () => {
    // A replica that confirms counts as a copy and may become part of a majority.
    const leader = await open(await formed());
    const refs: BlobRef[] = [];
    for (const text of TEXTS) {
      refs.push((await leader.propose(Buffer.from(text))) as BlobRef);
    }
    const {applied, log, term} = leader.status;
    const members = {learners: ['vm/2'], voters: [SELF]};
    const meta = {index: applied, members, term: log.termAt(applied)!};
    const snapshot = {machine: listMachine.encode(leader.localState), meta};
    const bulk = TEXTS.map((text) => encodeRecord(0, Buffer.from(`bulk of ${text}`)));
    const whole = Buffer.concat(bulk);
    const disk = new FakeDisk();
    const learner = await start(disk, 'vm/2');
    expect(await learner.beginInstall(meta, term)).toBe(0);
    expect(await learner.finishInstall(snapshot, term)).toBe(false);
    const half = await learner.installBlobs(0, whole.subarray(0, 20));
    expect([half, await learner.finishInstall(snapshot, term)]).toEqual([20, false]);
    expect(await ReplicaStorage.storedMembers(disk)).toBeUndefined();
    await learner.installBlobs(20, whole.subarray(20));
    expect(await learner.finishInstall(snapshot, term)).toBe(true);
    // Power loss right after the confirmation.
    disk.restart();
    const restarted = await start(disk, 'vm/2');
    expect(restarted.localState.texts).toEqual(TEXTS);
    const read = await Promise.all(refs.map((ref) => restarted.readBlob(ref)));
    expect(read.map((bytes) => Buffer.from(bytes).toString())).toEqual(
      TEXTS.map((text) => `bulk of ${text}`),
    );
  });

  test('stops when a sync fails, and acknowledges nothing afterwards', async () => {
    const disk = await formed();
    const driver = await open(disk);
    disk.failSyncs = true;
    await expect(driver.propose(Buffer.from('lost'))).rejects.toThrow();
    expect(failure).toMatchObject({message: 'the sync failed'});
    await expect(driver.propose(Buffer.from('more'))).rejects.toThrow('the replica has stopped');
    expect(driver.leads).toBe(false);
  });

  test('reuses the snapshot when an unreachable replica is retried', async () => {
    const disk = await formed();
    const driver = await open(disk);
    // More than the log keeps for replicas that lag slightly.
    for (const letter of ['a', 'b', 'c']) {
      await driver.propose(Buffer.from(letter.repeat(2_000_000)));
    }
    let saved = 0;
    const {rename} = disk;
    disk.rename = (from: string, to: string) => {
      saved += to.includes('snapshot') ? 1 : 0;
      return rename.call(disk, from, to);
    };
    let attempts = 0;
    transport.sendSnapshot = () => {
      attempts++;
      return Promise.resolve(false);
    };
    await driver.changeMembers({learners: ['vm2/1'], voters: [SELF]});
    while (attempts < 10) {
      await delay(5);
    }
    expect(saved).toBeLessThanOrEqual(2);
  });
});
