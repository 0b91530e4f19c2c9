/**
 * Callers of a fleet with more entry VMs than one answer names reach all of them, each with its share.
 */
import type {EntryView} from 'stallpaddle-fleet';

import fc from 'fast-check';
import {seededRandom} from 'stallpaddle';
import {describe, expect, test} from 'vitest';

import {sampleEntries} from '../../NodeAddresses';

function entriesOf(count: number): readonly EntryView[] {
  return Array.from({length: count}, (_, at) => ({
    address: `10.0.${at}.1:80`,
    name: `vm-${String(at).padStart(3, '0')}`,
    zone: `zone-${at % 5}`,
  }));
}

describe('drawEntries', () => {
  test('names each of 170 VMs about as often as any other', () => {
    const random = seededRandom(20_261);
    const entries = entriesOf(170);
    const named = new Map<string, number>(entries.map(({name}) => [name, 0]));
    const answers = 2_000;
    for (let count = 0; count < answers; count++) {
      for (const {name} of sampleEntries(entries, 64, random)) {
        named.set(name, named.get(name)! + 1);
      }
    }
    const share = (answers * 64) / 170;
    for (const times of named.values()) {
      expect(times / share).toBeGreaterThan(0.8);
      expect(times / share).toBeLessThan(1.2);
    }
  });

  test('names every VM once while all fit, and never more than fit', () => {
    const counts = fc.record({most: fc.integer({max: 64, min: 1}), there: fc.nat(100)});
    fc.assert(
      fc.property(counts, fc.nat(), ({most, there}, seed) => {
        const entries = entriesOf(there);
        const drawn = sampleEntries(entries, most, seededRandom(seed));
        expect(drawn).toHaveLength(Math.min(most, there));
        expect(new Set(drawn).size).toBe(drawn.length);
        expect(drawn.every((entry) => entries.includes(entry))).toBe(true);
      }),
    );
  });
});
