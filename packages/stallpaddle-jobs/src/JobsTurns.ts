/** Turns of customers among waiting items of equal urgency: pure functions. */

/** A waiting item, with what decides its turn. */
export interface TurnItem {
  /** Empty for none. */
  readonly customer: string;
  /** Items with the same number are equally urgent. */
  readonly urgency: number;
}

/** Slots and weights of customers. */
export interface TurnShares {
  /** Slots that the customer's items hold. */
  readonly heldOf: (customer: string) => number;
  readonly weightOf: (customer: string) => number;
}

interface Turn<Item> {
  readonly item: Item;
  /** Slots for each unit of weight that its customer holds when the item's turn comes. */
  readonly rank: number;
}

/**
 * Orders equally urgent items so that the customer with the fewest slots for each unit of weight comes next. Each item
 * counts as a slot for those after it. The order of a customer's own items, and of unequally urgent items, is kept.
 *
 * @param items items by urgency
 * @param shares slots and weights of their customers
 */
export function takeTurns<Item extends TurnItem>(
  items: readonly Item[],
  {heldOf, weightOf}: TurnShares,
): readonly Item[] {
  const counts = new Map<string, number>();
  const turns: Turn<Item>[] = items.map((item) => {
    const {customer} = item;
    const count = counts.get(customer) ?? heldOf(customer);
    counts.set(customer, count + 1);
    return {item, rank: count / weightOf(customer)};
  });
  const isEqual = (a: Turn<Item>, b: Turn<Item> | undefined): boolean =>
    a.item.urgency === b?.item.urgency;
  const ordered: Item[] = [];
  for (let from = 0; from < turns.length;) {
    let to = from + 1;
    while (to < turns.length && isEqual(turns[from]!, turns[to])) {
      to++;
    }
    // The sort is stable, so equal ranks keep their order by urgency.
    const group = turns.slice(from, to).sort((a, b) => a.rank - b.rank);
    ordered.push(...group.map(({item}) => item));
    from = to;
  }
  return ordered;
}
