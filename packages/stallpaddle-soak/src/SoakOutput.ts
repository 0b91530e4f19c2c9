/**
 * What a stand-in engine makes of a request, so that whoever reads an answer can tell whose it is and whether it is whole.
 */

/** Events of each stream and item. */
export const OUTPUT_EVENTS = 12;

/**
 * One event of a stream.
 *
 * @param id the request
 * @param number the event, from 1
 */
export function eventText(id: string, number: number): string {
  return `id: ${number}\ndata: ${id} ${number}\n\n`;
}

/**
 * A whole stream.
 *
 * @param id the request
 */
export function streamText(id: string): string {
  return numbers()
    .map((number) => eventText(id, number))
    .join('');
}

/**
 * Whole output of a batch item, as results give it.
 *
 * @param id the item
 */
export function itemText(id: string): string {
  return numbers()
    .map((number) => `${id} ${number}`)
    .join('\n');
}

/**
 * Answer to a request that may run once only.
 *
 * @param id the request
 */
export function onceText(id: string): string {
  return `done ${id}`;
}

/** Part of an item's name that no engine can do anything with. */
export const IMPOSSIBLE = 'impossible';

function numbers(): readonly number[] {
  return Array.from({length: OUTPUT_EVENTS}, (_, at) => at + 1);
}
