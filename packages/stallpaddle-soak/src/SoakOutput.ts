/**
 * Deterministic output of the fake engines: shows which request it belongs to, which software version wrote it and whether
 * it is complete.
 */

/** Number of events in each stream and item. */
export const OUTPUT_EVENTS = 12;

/** Versions of the engines' software; what they write does not fit together. */
export const SOFTWARE_VERSIONS = ['v1', 'v2'] as const;

/** Version of an engine's software. */
export type SoftwareVersion = (typeof SOFTWARE_VERSIONS)[number];

const VERSION_MARKS = new RegExp(` (${SOFTWARE_VERSIONS.join('|')})$`, 'gm');
/** End of an event. */
const EVENT_END = '\n\n';

/**
 * Returns one event of a stream.
 *
 * @param id request id
 * @param number number of the event, from 1
 * @param version software version that writes it
 */
export function eventText(id: string, number: number, version: SoftwareVersion): string {
  return `id: ${number}\ndata: ${id} ${number} ${version}${EVENT_END}`;
}

/**
 * Returns a complete stream, or the rest of one.
 *
 * @param id request id
 * @param version software version that writes it
 * @param after last event that the caller has
 */
export function streamText(id: string, version: SoftwareVersion = 'v1', after = 0): string {
  return numbers()
    .slice(after)
    .map((number) => eventText(id, number, version))
    .join('');
}

/**
 * Returns the complete output of a batch item, as it appears in the job's results.
 *
 * @param id item id
 * @param version software version that writes it
 */
export function itemText(id: string, version: SoftwareVersion = 'v1'): string {
  return numbers()
    .map((number) => `${id} ${number} ${version}`)
    .join('\n');
}

/**
 * Removes the software versions from an output.
 *
 * @param text the output
 */
export function withoutVersion(text: string): string {
  return text.replaceAll(VERSION_MARKS, '');
}

/**
 * Number of complete events in a response.
 *
 * @param text the response
 */
export function eventCount(text: string): number {
  return text.split(EVENT_END).length - 1;
}

/**
 * Returns the response body of a request that may run only once.
 *
 * @param id request id
 */
export function onceText(id: string): string {
  return `done ${id}`;
}

/** Prefix of the name of a request, or of a family of requests, that crash every engine that runs them. */
const FATAL = 'fatal';
/** Separates the name of a fatal request from the number of an attempt. */
const ATTEMPT = '.attempt-';
/** Separates the name of a family of fatal requests from the number of a request. */
const MEMBER = '~';
/** Ends the name of a fatal request or family in an id. */
const NAME_END = /[~.]/;
/** Part that the prompts of all requests share. */
const COMMON_PART = 'c0';
/** Number of second parts that harmless requests share among themselves. */
const HARMLESS_PARTS = 7;

/**
 * Returns the content of a fatal request.
 *
 * @param number number of the request
 */
export function fatalContent(number: number): string {
  return `${FATAL}${number}`;
}

/**
 * Returns the content of one request of a family: its requests share a part of their prompts and differ in all else.
 *
 * @param number number of the family
 * @param member number of the request
 */
export function fatalMember(number: number, member: number): string {
  return `${fatalContent(number)}${MEMBER}${member}`;
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
 * Returns the name of the fatal request or family that an attempt belongs to; null for any other request.
 *
 * @param id id of the attempt
 */
export function fatalOf(id: string): null | string {
  return id.startsWith(FATAL) ? id.slice(0, id.search(NAME_END)) : null;
}

/**
 * Whether an attempt belongs to a family of fatal requests.
 *
 * @param id id of the attempt
 */
export function isFatalMember(id: string): boolean {
  return id.startsWith(FATAL) && id.includes(MEMBER);
}

/**
 * Returns the ids of the parts of a request's prompt that other requests share, in hexadecimal.
 *
 * @param content content of the request
 */
export function sharedParts(content: string): readonly string[] {
  const number = Number(/\d+/.exec(content)?.[0] ?? 0);
  if (content.startsWith(FATAL)) {
    return content.includes(MEMBER) ? [COMMON_PART, `f${number}`] : [COMMON_PART];
  }
  return [COMMON_PART, `a${number % HARMLESS_PARTS}`];
}

/** Prefix of the ids of requests that show which configuration a VM obeys. */
const PROBE = 'probe';

/**
 * Returns the id of a probe.
 *
 * @param number number of the probe
 */
export function probeId(number: number): string {
  return `${PROBE}${number}`;
}

/**
 * Whether a request is a probe, which an engine answers with its service.
 *
 * @param id id of the request
 */
export function isProbe(id: string): boolean {
  return id.startsWith(PROBE);
}

/** Marks the ids of items that every engine rejects. */
export const IMPOSSIBLE = 'impossible';

function numbers(): readonly number[] {
  return Array.from({length: OUTPUT_EVENTS}, (_, at) => at + 1);
}
