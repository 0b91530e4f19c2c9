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

/** Part of the name of a request that ends every engine which begins to run it. */
const FATAL = 'fatal';
/** Stands before the number of an attempt at such a request. */
const ATTEMPT = '.attempt-';

/**
 * Name of a request that ends engines.
 *
 * @param number its number
 */
export function fatalContent(number: number): string {
  return `${FATAL}${number}`;
}

/**
 * Name of one attempt at such a request.
 *
 * @param content the request
 * @param number the attempt
 */
export function fatalAttempt(content: string, number: number): string {
  return `${content}${ATTEMPT}${number}`;
}

/**
 * The request that ends engines, by the name of an attempt; null for any other.
 *
 * @param id the attempt
 */
export function fatalOf(id: string): null | string {
  return id.startsWith(FATAL) ? id.slice(0, id.indexOf(ATTEMPT)) : null;
}

/** Part of an item's name that no engine can do anything with. */
export const IMPOSSIBLE = 'impossible';

function numbers(): readonly number[] {
  return Array.from({length: OUTPUT_EVENTS}, (_, at) => at + 1);
}
