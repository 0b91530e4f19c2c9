/**
 * What a soak is asked for.
 */
import {describe, expect, test} from 'vitest';

import {readSoakArguments, shapeOf, SoakArgumentsError} from '../../SoakArguments';

const GOOD = {minutes: 0.5, seed: 7, vms: 8};

describe('readSoakArguments', () => {
  test('takes numbers as the command line gives them', () => {
    expect(readSoakArguments({minutes: '0.5', seed: '7', vms: 8})).toEqual(GOOD);
  });

  test.each([
    ['seed', 'x'],
    ['seed', -1],
    ['seed', 1.5],
    ['minutes', 0],
    ['minutes', ''],
    ['minutes', true],
    ['vms', 7],
    ['vms', 201],
    ['vms', undefined],
  ])('says in a line that --%s %s can’t be used', (name, value) => {
    const read = () => readSoakArguments({...GOOD, [name]: value});
    expect(read).toThrow(SoakArgumentsError);
    expect(read).toThrow(`--${name} must be`);
  });
});

describe('shapeOf', () => {
  test('has as many VMs as asked for, and enough disks to bear the losses', () => {
    for (const vms of [8, 19, 20, 60]) {
      const {controls, entries, lostDisks, stores} = shapeOf(vms);
      expect(controls.length + entries.length + stores.length).toBe(vms);
      expect(controls.length).toBeGreaterThan(2 * lostDisks);
      expect(stores.length).toBeGreaterThan(2 * lostDisks + 1);
      expect(entries.length).toBeGreaterThan(0);
    }
  });
});
