/**
 * Which entry VMs a caller is told of. Pure. An answer names a part of a large fleet only, so each answer draws its own
 * part by chance: the same part in every answer would send all callers to the same VMs. With the first 64 of 170 in
 * each answer, these took 2.7 times their share of the requests, and the others none.
 */
import type {Random} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';

/**
 * Draws the entry VMs to name, each as likely as any other, in an order drawn by chance.
 *
 * @param entries all entry VMs that take callers
 * @param most longest list that a caller takes
 * @param random source of the draw
 */
export function sampleEntries(
  entries: readonly EntryView[],
  most: number,
  random: Random,
): readonly EntryView[] {
  const left = [...entries];
  const drawn: EntryView[] = [];
  while (drawn.length < most && left.length > 0) {
    const at = Math.floor(random() * left.length);
    drawn.push(left[at]!);
    left[at] = left.at(-1)!;
    left.pop();
  }
  return drawn;
}
