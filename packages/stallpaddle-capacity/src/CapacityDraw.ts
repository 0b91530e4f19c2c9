/**
 * Weighted draw without replacement. Pure functions.
 */
import type {Random} from 'stallpaddle';

/** Fewest VMs in an answer, so that a caller has alternatives when a VM fails. */
const MIN_DRAWN = 3;
/** Most VMs in an answer; few enough that VMs of unequal size can appear in an unequal number of answers. */
const MAX_DRAWN = 24;

/**
 * Number of items to draw so that the item with the largest share is in at most every answer. A caller selects one item of
 * an answer uniformly, so an item in every answer can't get more load than the others of these answers.
 *
 * @param shares share of each item; they sum up to 1
 */
export function drawSize(shares: readonly number[]): number {
  const largest = shares.reduce((most, share) => Math.max(most, share), 0);
  // The tolerance keeps 8 equal shares from being counted as 7 by a rounding error.
  const size = Math.floor(1 / largest + 1e-9);
  return Math.min(shares.length, Math.max(MIN_DRAWN, Math.min(MAX_DRAWN, size)));
}

/** Probability that each item is drawn: in proportion to its share, at most 1. */
function inclusions(shares: readonly number[], size: number): readonly number[] {
  const result = [...shares];
  const certain = new Set<number>();
  for (;;) {
    const left = shares.reduce((sum, share, at) => (certain.has(at) ? sum : sum + share), 0);
    const scale = left === 0 ? 0 : (size - certain.size) / left;
    const before = certain.size;
    shares.forEach((share, at) => {
      result[at] = certain.has(at) ? 1 : share * scale;
    });
    result.forEach((inclusion, at) => {
      if (inclusion >= 1) {
        certain.add(at);
      }
    });
    if (certain.size === before) {
      return result;
    }
  }
}

function shuffle(positions: number[], random: Random): readonly number[] {
  for (let end = positions.length - 1; end > 0; end--) {
    const at = Math.floor(random() * (end + 1));
    const moved = positions[end]!;
    positions[end] = positions[at]!;
    positions[at] = moved;
  }
  return positions;
}

/**
 * Draws items without replacement by systematic sampling in random order: each is drawn with a probability in proportion
 * to its share, exactly. (Successive weighted draws favour items with small shares.) Preferred items come first.
 *
 * @param items the items
 * @param shares share of each item, above 0
 * @param size number of items to draw
 * @param isPreferred whether an item comes before the others
 * @param random source of randomness
 */
export function drawByShare<Item>(
  items: readonly Item[],
  shares: readonly number[],
  size: number,
  isPreferred: (item: Item) => boolean,
  random: Random,
): readonly Item[] {
  const probability = inclusions(shares, Math.min(size, items.length));
  const positions = items.map((_, at) => at);
  const preferred = positions.filter((at) => isPreferred(items[at]!));
  const others = positions.filter((at) => !isPreferred(items[at]!));
  const order = [...shuffle(preferred, random), ...shuffle(others, random)];
  let mark = random();
  const drawn: Item[] = [];
  for (const at of order) {
    const before = Math.floor(mark);
    mark += probability[at]!;
    if (Math.floor(mark) > before) {
      drawn.push(items[at]!);
    }
  }
  return drawn;
}
