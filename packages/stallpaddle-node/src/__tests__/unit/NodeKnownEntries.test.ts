/**
 * Entry VMs that a replica remembers, over a start on the same disk.
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
  test('knows after a start who was there before, and nobody on an empty disk', async () => {
    const disk = new FakeDisk();
    const remembered = await openOn(disk);
    expect(remembered.hosts).toEqual([]);
    remembered.update(entriesOf('10.0.0.2', '10.0.0.1'), 0);
    await delay(1);
    expect((await openOn(disk)).hosts).toEqual(['10.0.0.1', '10.0.0.2']);
  });

  test('records changes with pauses between them, and no list of nobody', async () => {
    const remembered = await openOn(new FakeDisk());
    remembered.update(entriesOf('10.0.0.1'), 0);
    await delay(1);
    remembered.update(entriesOf('10.0.0.2'), 100);
    remembered.update([], 60_000);
    await delay(1);
    expect(remembered.hosts).toEqual(['10.0.0.1']);
    remembered.update(entriesOf('10.0.0.2'), 60_000);
    await delay(1);
    expect(remembered.hosts).toEqual(['10.0.0.2']);
  });

  test('passes over what can’t be read', async () => {
    const disk = new FakeDisk();
    const file = await disk.open('entries.json');
    await file.append(Buffer.from('{"torn'));
    expect((await openOn(disk)).hosts).toEqual([]);
  });

  test('two of the replicas tell each entry VM', () => {
    const replicas = Array.from({length: 6}, (_, at) => `10.1.0.${at}`);
    for (let entry = 0; entry < 100; entry++) {
      const tellers = replicas.filter((self) =>
        isBootstrapperOf(`10.2.0.${entry}`, self, replicas),
      );
      expect(tellers).toHaveLength(2);
    }
  });
});
