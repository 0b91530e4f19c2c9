/**
 * Header lines as they go from one connection to another.
 */
import type {HeaderLine} from './RelayWire';

/** Concern one connection only (RFC 9110, section 7.6.1), or are set anew from the body. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function lowerCase(name: string): string {
  return name.toLowerCase();
}

function namedByConnection(raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let at = 0; at < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() === 'connection') {
      raw[at + 1]!.split(',').forEach((name) => names.add(name.trim().toLowerCase()));
    }
  }
  return names;
}

/**
 * Header lines that travel on, in order, as a flat list of names and values.
 *
 * @param raw header lines as they came
 * @param set lines that replace any of the same name
 * @param dropped names of further lines that stay here
 */
export function forwardedHeaders(
  raw: readonly string[],
  set: readonly HeaderLine[] = [],
  dropped: readonly string[] = [],
): string[] {
  const replaced = new Set([...set.map(([name]) => name), ...dropped].map(lowerCase));
  const connection = namedByConnection(raw);
  const passed: string[] = [];
  for (let at = 0; at < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (!CONNECTION_HEADERS.has(name) && !replaced.has(name) && !connection.has(name)) {
      passed.push(raw[at]!, raw[at + 1]!);
    }
  }
  set.forEach(([name, value]) => passed.push(name, value));
  return passed;
}
