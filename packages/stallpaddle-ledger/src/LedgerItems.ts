/**
 * Reads and writes the packed item states of a chunk (`ItemBytes`).
 */
import {unreachable} from 'stallpaddle';

import type {ItemBytes, ItemEnd} from './LedgerTypes';

/** Status of one item; `open` and `started` are not final. */
export type ItemStatus = ItemEnd | 'open' | 'started';

const STATUS_MASK = 0x0f;
const LOSS_SHIFT = 4;
const MAX_LOSSES = 15;
const STATUSES: readonly ItemStatus[] = [
  'open',
  'started',
  'done',
  'failed',
  'cancelled',
  'mayHaveRun',
];

/**
 * Whether a status is final.
 *
 * @param status an item's status
 */
export function isFinal(status: ItemStatus): boolean {
  switch (status) {
    case 'cancelled':
    case 'done':
    case 'failed':
    case 'mayHaveRun':
      return true;
    case 'open':
    case 'started':
      return false;
    default:
      return unreachable(status);
  }
}

/**
 * Reads an item's status.
 *
 * @param items the chunk's items
 * @param item position in the chunk, from 0
 */
export function itemStatus(items: ItemBytes, item: number): ItemStatus {
  return STATUSES[(items?.[item] ?? 0) & STATUS_MASK]!;
}

/**
 * Reads how many engines failed while running the item.
 *
 * @param items the chunk's items
 * @param item position in the chunk, from 0
 */
export function itemLosses(items: ItemBytes, item: number): number {
  return (items?.[item] ?? 0) >> LOSS_SHIFT;
}

/**
 * Copies a chunk's items for modification.
 *
 * @param items the chunk's items
 * @param count number of items
 */
export function copyItems(items: ItemBytes, count: number): Uint8Array {
  return items === null ? new Uint8Array(count) : items.slice();
}

/**
 * Sets an item's status.
 *
 * @param items a copy from {@link copyItems}; changed in place
 * @param item position in the chunk, from 0
 * @param status new status
 */
export function setStatus(items: Uint8Array, item: number, status: ItemStatus): void {
  items[item] = (items[item]! & ~STATUS_MASK) | STATUSES.indexOf(status);
}

/**
 * Counts one more engine loss and reopens the item.
 *
 * @param items a copy from {@link copyItems}; changed in place
 * @param item position in the chunk, from 0
 * @returns losses so far
 */
export function addLoss(items: Uint8Array, item: number): number {
  const losses = Math.min(MAX_LOSSES, itemLosses(items, item) + 1);
  items[item] = losses << LOSS_SHIFT;
  return losses;
}

/**
 * Number of items that are not final.
 *
 * @param items the chunk's items
 * @param count number of items
 */
export function openCount(items: ItemBytes, count: number): number {
  let open = 0;
  for (let item = 0; item < count; item++) {
    if (!isFinal(itemStatus(items, item))) {
      open++;
    }
  }
  return open;
}
