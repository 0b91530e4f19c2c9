/** Deterministic output of the fake engines: shows which request it belongs to and whether it is complete. */

/** Number of events in each stream and item. */
export const OUTPUT_EVENTS = 12;

/**
 * Returns one event of a stream.
 *
 * @param id request id
 * @param number number of the event, from 1
 */
export function eventText(id: string, number: number): string {
  return `id: ${number}\ndata: ${id} ${number}\n\n`;
}

/**
 * Returns a complete stream.
 *
 * @param id request id
 */
export function streamText(id: string): string {
  return numbers()
    .map((number) => eventText(id, number))
    .join('');
}

/**
 * Returns the complete output of a batch item, as it appears in the job's results.
 *
 * @param id item id
 */
export function itemText(id: string): string {
  return numbers()
    .map((number) => `${id} ${number}`)
    .join('\n');
}

/**
 * Returns the response body of a request that may run only once.
 *
 * @param id request id
 */
export function onceText(id: string): string {
  return `done ${id}`;
}

/** Prefix of the name of a request that crashes every engine that runs it. */
const FATAL = 'fatal';
/** Separates the name of a fatal request from the number of an attempt. */
const ATTEMPT = '.attempt-';

/**
 * Returns the name of a fatal request.
 *
 * @param number number of the request
 */
export function fatalContent(number: number): string {
  return `${FATAL}${number}`;
}

/**
 * Returns the id of one attempt at a fatal request.
 *
 * @param content name of the request
 * @param number number of the attempt
 */
export function fatalAttempt(content: string, number: number): string {
  return `${content}${ATTEMPT}${number}`;
}

/**
 * Returns the name of the fatal request that an attempt belongs to; null for any other request.
 *
 * @param id id of the attempt
 */
export function fatalOf(id: string): null | string {
  return id.startsWith(FATAL) ? id.slice(0, id.indexOf(ATTEMPT)) : null;
}

/** Marks the ids of items that every engine rejects. */
export const IMPOSSIBLE = 'impossible';

function numbers(): readonly number[] {
  return Array.from({length: OUTPUT_EVENTS}, (_, at) => at + 1);
}
