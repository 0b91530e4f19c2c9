/** Selects the entry VMs that a caller learns of. */
import type {Random} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';

/**
 * Draws a uniform sample of entry VMs in random order. In a large fleet one answer lists only some of the entry VMs; a
 * new sample for each answer spreads the callers evenly over all of them.
 *
 * @param entries all entry VMs that accept requests
 * @param limit largest size of the sample
 * @param random source of randomness
 */
export function sampleEntries(
  entries: readonly EntryView[],
  limit: number,
  random: Random,
): readonly EntryView[] {
  const left = [...entries];
  const sample: EntryView[] = [];
  while (sample.length < limit && left.length > 0) {
    const at = Math.floor(random() * left.length);
    sample.push(left[at]!);
    left[at] = left.at(-1)!;
    left.pop();
  }
  return sample;
}
