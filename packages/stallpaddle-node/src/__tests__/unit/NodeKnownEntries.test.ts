/**
 * The recorded entry VMs survive a restart on the same disk.
 */
import type {EntryView} from 'stallpaddle-fleet';

import {delay} from 'stallpaddle';
import {FakeDisk} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {isBootstrapperOf, NodeKnownEntries} from '../../NodeKnownEntries';

function entriesOf(...hosts: readonly string[]): readonly EntryView[] {
  return hosts.map((host) => ({address: `${host}:80`, name: host, zone: 'z'}));
}

async function openOn(disk: FakeDisk): Promise<NodeKnownEntries> {
  return NodeKnownEntries.open(disk, () => {});
}

describe('NodeKnownEntries', () => {
  test('knows the recorded entry VMs after a restart, and none on an empty disk', async () => {
    const disk = new FakeDisk();
    const entries = await openOn(disk);
    expect(entries.hosts).toEqual([]);
    entries.update(entriesOf('10.0.0.2', '10.0.0.1'), 0);
    await delay(1);
    expect((await openOn(disk)).hosts).toEqual(['10.0.0.1', '10.0.0.2']);
  });

  test('records changes with pauses between them, and no empty list', async () => {
    const entries = await openOn(new FakeDisk());
    entries.update(entriesOf('10.0.0.1'), 0);
    await delay(1);
    entries.update(entriesOf('10.0.0.2'), 100);
    entries.update([], 60_000);
    await delay(1);
    expect(entries.hosts).toEqual(['10.0.0.1']);
    entries.update(entriesOf('10.0.0.2'), 60_000);
    await delay(1);
    expect(entries.hosts).toEqual(['10.0.0.2']);
  });

  test('ignores an unreadable file', async () => {
    const disk = new FakeDisk();
    const file = await disk.open('entries.json');
    await file.append(Buffer.from('{"torn'));
    expect((await openOn(disk)).hosts).toEqual([]);
  });

  test('two of the replicas bootstrap each entry VM', () => {
    const replicas = Array.from({length: 6}, (_, at) => `10.1.0.${at}`);
    for (let entry = 0; entry < 100; entry++) {
      const bootstrappers = replicas.filter((self) =>
        isBootstrapperOf(`10.2.0.${entry}`, self, replicas),
      );
      expect(bootstrappers).toHaveLength(2);
    }
  });
});
