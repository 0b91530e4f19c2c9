/** Guards against uneven load on entry VMs when one answer can't list all of them. */
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

describe('sampleEntries', () => {
  test('lists each of 170 VMs about equally often', () => {
    const random = seededRandom(20_261);
    const entries = entriesOf(170);
    const counts = new Map<string, number>(entries.map(({name}) => [name, 0]));
    const answers = 2_000;
    for (let count = 0; count < answers; count++) {
      for (const {name} of sampleEntries(entries, 64, random)) {
        counts.set(name, counts.get(name)! + 1);
      }
    }
    const average = (answers * 64) / 170;
    for (const count of counts.values()) {
      expect(count / average).toBeGreaterThan(0.8);
      expect(count / average).toBeLessThan(1.2);
    }
  });

  test('lists each VM at most once, and as many as the limit allows', () => {
    const counts = fc.record({limit: fc.integer({max: 64, min: 1}), total: fc.nat(100)});
    fc.assert(
      fc.property(counts, fc.nat(), ({limit, total}, seed) => {
        const entries = entriesOf(total);
        const sample = sampleEntries(entries, limit, seededRandom(seed));
        expect(sample).toHaveLength(Math.min(limit, total));
        expect(new Set(sample).size).toBe(sample.length);
        expect(sample.every((entry) => entries.includes(entry))).toBe(true);
      }),
    );
  });
});
