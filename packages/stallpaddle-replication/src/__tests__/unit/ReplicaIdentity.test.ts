import {FakeDisk} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {loadIdentity} from '../../ReplicaIdentity';

describe('loadIdentity', () => {
  test('keeps the id of a disk, also after a crash', async () => {
    const disk = new FakeDisk();
    const id = await loadIdentity(disk, 'vm-1');
    disk.restart();
    expect(await loadIdentity(disk, 'vm-1')).toBe(id);
  });

  test('generates a new id for an empty disk of the same VM', async () => {
    const first = await loadIdentity(new FakeDisk(), 'vm-1');
    const second = await loadIdentity(new FakeDisk(), 'vm-1');
    expect(second).not.toBe(first);
    expect(second.startsWith('vm-1/')).toBe(true);
  });

  test('rejects the disk of another VM', async () => {
    const disk = new FakeDisk();
    await loadIdentity(disk, 'vm-1');
    await expect(loadIdentity(disk, 'vm-2')).rejects.toThrow('belongs to VM vm-1');
  });
});
