import {FakeDisk} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import {loadIdentity} from '../../ReplicaIdentity';

describe('loadIdentity', () => {
  test('keeps a disk its name, through a crash too', async () => {
    const disk = new FakeDisk();
    const name = await loadIdentity(disk, 'vm-1');
    disk.restart();
    expect(await loadIdentity(disk, 'vm-1')).toBe(name);
  });

  test('gives an empty disk of the same VM another name', async () => {
    const first = await loadIdentity(new FakeDisk(), 'vm-1');
    const second = await loadIdentity(new FakeDisk(), 'vm-1');
    expect(second).not.toBe(first);
    expect(second.startsWith('vm-1/')).toBe(true);
  });

  test("refuses another VM's disk", async () => {
    const disk = new FakeDisk();
    await loadIdentity(disk, 'vm-1');
    await expect(loadIdentity(disk, 'vm-2')).rejects.toThrow('belongs to VM vm-1');
  });
});
