/** Guards against invalid arguments that are accepted, and fleets too small for the disk losses they must tolerate. */
import {describe, expect, test} from 'vitest';

import {readSoakArguments, shapeOf, SoakArgumentsError} from '../../SoakArguments';

const GOOD = {minutes: 0.5, seed: 7, vms: 8};

describe('readSoakArguments', () => {
  test('accepts numbers as the command line passes them', () => {
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
  ])('rejects --%s %s with an error that names it', (name, value) => {
    const read = () => readSoakArguments({...GOOD, [name]: value});
    expect(read).toThrow(SoakArgumentsError);
    expect(read).toThrow(`--${name} must be`);
  });
});

describe('shapeOf', () => {
  test('has the requested number of VMs, and enough disks to tolerate the losses', () => {
    for (const vms of [8, 19, 20, 60]) {
      const {controls, entries, lostDisks, stores} = shapeOf(vms);
      expect(controls.length + entries.length + stores.length).toBe(vms);
      expect(controls.length).toBeGreaterThan(2 * lostDisks);
      expect(stores.length).toBeGreaterThan(2 * lostDisks + 1);
      expect(entries.length).toBeGreaterThan(0);
    }
  });
});
