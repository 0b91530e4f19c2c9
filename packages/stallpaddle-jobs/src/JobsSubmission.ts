/** Validation of submitted items: pure functions. */
import type {SubmittedItem} from './JobsTypes';

/** Characters that HTTP allows in no header (RFC 9110, section 5.5). */
const CONTROL_CHARACTER = /[\0-\x08\x0a-\x1f\x7f]/;
/** A token, the form of a header's name (RFC 9110, section 5.6.2). */
const TOKEN = /^[!#$%&'*+.^_`|~0-9a-z-]+$/i;
/** A path without blanks and control characters; characters beyond ASCII are sent percent-encoded. */
const PATH = /^\/[^\0-\x20\x7f]*$/;

function findItemFault({headers, id, path}: SubmittedItem): null | string {
  if (id.trim() === '' || CONTROL_CHARACTER.test(id)) {
    return 'its id is empty or has control characters';
  }
  if (!PATH.test(path)) {
    return 'its path does not start with a slash, or has blanks or control characters';
  }
  const header = headers.find(
    ([name, value]) => !TOKEN.test(name) || CONTROL_CHARACTER.test(value),
  );
  return header === undefined
    ? null
    : `HTTP does not allow its header ${JSON.stringify(header[0])}`;
}

/**
 * Finds the first item that could be sent to no engine.
 *
 * @param items the items
 * @returns a description of the fault; null if there is none
 */
export function findSubmissionFault(items: readonly SubmittedItem[]): null | string {
  for (const [index, item] of items.entries()) {
    const fault = findItemFault(item);
    if (fault !== null) {
      return `Item ${index}: ${fault}.`;
    }
  }
  return null;
}
