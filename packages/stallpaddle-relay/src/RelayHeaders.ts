/**
 * Headers that are forwarded between connections.
 */
import type {EngineCallMetadata, HeaderLine, RelayWire} from './RelayWire';

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and those that are set again from the body. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

/**
 * Encodes text for a header as UTF-8. Node sends each character of a header as one byte.
 *
 * @param text the text, not a header as it was received
 */
export function encodeHeader(text: string): string {
  return Buffer.from(text).toString('latin1');
}

/**
 * Percent-encodes the characters of a path beyond ASCII (RFC 3986), and no others.
 *
 * @param path the path
 */
export function encodePath(path: string): string {
  return encodeHeader(path).replaceAll(
    /[\x80-\xff]/g,
    (byte) => `%${byte.charCodeAt(0).toString(16).toUpperCase()}`,
  );
}

/**
 * Headers of a request to an engine, with the names of the customer and the engine encoded.
 *
 * @param wire format of the headers
 * @param metadata metadata of the request
 */
export function engineHeaders(
  wire: RelayWire,
  {customer, engine, ...metadata}: EngineCallMetadata,
): readonly HeaderLine[] {
  return wire.engineHeaders({
    ...metadata,
    customer: customer === undefined ? undefined : encodeHeader(customer),
    engine: encodeHeader(engine),
  });
}

function lowerCase(name: string): string {
  return name.toLowerCase();
}

function connectionOptions(raw: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let at = 0; at < raw.length; at += 2) {
    if (raw[at]!.toLowerCase() === 'connection') {
      raw[at + 1]!.split(',').forEach((name) => names.add(name.trim().toLowerCase()));
    }
  }
  return names;
}

/**
 * Returns the headers to forward, in order, as a flat list of names and values.
 *
 * @param raw headers as they were received
 * @param set headers that replace any of the same name
 * @param dropped names of further headers that are not forwarded
 */
export function forwardedHeaders(
  raw: readonly string[],
  set: readonly HeaderLine[] = [],
  dropped: readonly string[] = [],
): string[] {
  const replaced = new Set([...set.map(([name]) => name), ...dropped].map(lowerCase));
  const connection = connectionOptions(raw);
  const forwarded: string[] = [];
  for (let at = 0; at < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(name) && !replaced.has(name) && !connection.has(name)) {
      forwarded.push(raw[at]!, raw[at + 1]!);
    }
  }
  set.forEach(([name, value]) => forwarded.push(name, value));
  return forwarded;
}
