/**
 * Sums up in one sentence why a request was rejected.
 */
import type {ExplainedLine} from './CliExplain';

/** Range of an ISO timestamp that holds the time of day, from hours to milliseconds. */
const TIME_OF_DAY = [11, 23] as const;

/** Reasons of the decision `rejected`. */
const REASONS: ReadonlyMap<unknown, string> = new Map([
  ['full', 'the queue was full, and the request was last in order'],
  ['objective', 'it would miss its objective by waiting, and meet it by a return'],
  ['time', 'it could not be sent in the time that it may wait'],
]);

type Fields = ExplainedLine['fields'];

/** A part of the sentence; empty if the field is missing, as for values that were unknown. */
function part(value: unknown, before: string, after = ''): readonly string[] {
  return value === undefined ? [] : [`${before}${String(value)}${after}`];
}

/** Names who was rejected; callers without a customer share their slots under an empty name. */
function subjectOf(customer: unknown): string {
  return customer === '' ? 'callers without a customer' : `customer ${String(customer)}`;
}

function partsOf(message: string, fields: Fields): readonly string[] | undefined {
  const {ahead, burst, customer, expectedMs, fraction, level, ratePerSecond, reason} = fields;
  switch (message) {
    case 'rejected':
      return [
        REASONS.get(reason) ?? `reason ${String(reason)}`,
        ...part(ahead, 'requests ahead: '),
        ...part(expectedMs, 'expected wait ', ' ms'),
        ...part(customer, 'customer '),
      ];
    case 'overLimit':
      return [
        `${subjectOf(customer)} above the limit`,
        ...part(ratePerSecond, 'rate ', ' requests/s'),
        ...part(burst, 'burst '),
      ];
    case 'overShare':
      return [
        `slots were scarce, and ${subjectOf(customer)} above the fair share`,
        ...part(fraction, 'fraction of the requests that goes on: '),
        ...part(level, 'level ', ' slots for each unit of weight'),
      ];
    default:
      return undefined;
  }
}

/**
 * Names the cause of the latest rejection of a request; undefined if it was not rejected for lack of slots, for its
 * customer's limit or for its customer's share.
 *
 * @param lines lines that mention the request, oldest first
 * @param id id of the request; attempts under other ids are left out
 */
export function describeCause(lines: readonly ExplainedLine[], id: string): string | undefined {
  const causes = lines.flatMap(({fields, message, time, vm}) => {
    const parts = fields['id'] === id ? partsOf(message, fields) : undefined;
    if (parts === undefined) {
      return [];
    }
    const all = [...parts, ...part(fields['retryAfterMs'], 'told to return after ', ' ms')];
    return [`Rejected at ${time.slice(...TIME_OF_DAY)} by ${vm}: ${all.join('; ')}.`];
  });
  return causes.at(-1);
}
