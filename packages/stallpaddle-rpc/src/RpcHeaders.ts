/**
 * Header lines as `fetch` defines them. Calls between processes need nothing else of `fetch`, and the first use of Node.js's
 * own headers loads its whole HTTP client: 30 ms of processor time and some megabytes in each process that starts. The
 * platform's build puts this class in their place.
 */

/** What headers are made from. */
type HeaderLines = Iterable<readonly [string, string]> | Readonly<Record<string, string>>;

const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** What no value holds: line ends, and what no byte stands for. */
const BAD_VALUE = /[\0\r\n\u0100-\uffff]/;
const OUTER_BLANKS = /^[\t\r\n ]+|[\t\r\n ]+$/g;
/** The only name whose values are never joined. */
const SEPARATE = 'set-cookie';

function nameOf(name: string): string {
  if (!NAME.test(name)) {
    throw new TypeError(`The header name “${name}” can’t be used.`);
  }
  return name.toLowerCase();
}

function valueOf(value: string): string {
  const text = String(value).replace(OUTER_BLANKS, '');
  if (BAD_VALUE.test(text)) {
    throw new TypeError('The header value can’t be used.');
  }
  return text;
}

function isIterable(lines: HeaderLines): lines is Iterable<readonly [string, string]> {
  return Symbol.iterator in lines;
}

/** See the module's comment. */
export class RpcHeaders implements Iterable<[string, string]> {
  private readonly lines = new Map<string, readonly string[]>();

  /**
   * @param lines names and values
   */
  constructor(lines: HeaderLines = {}) {
    for (const [name, value] of isIterable(lines) ? lines : Object.entries(lines)) {
      this.append(name, value);
    }
  }

  append(name: string, value: string): void {
    const key = nameOf(name);
    this.lines.set(key, [...(this.lines.get(key) ?? []), valueOf(value)]);
  }

  delete(name: string): void {
    this.lines.delete(nameOf(name));
  }

  *entries(): IterableIterator<[string, string]> {
    for (const name of [...this.lines.keys()].sort()) {
      const values = this.lines.get(name) ?? [];
      for (const value of name === SEPARATE ? values : [values.join(', ')]) {
        yield [name, value];
      }
    }
  }

  forEach(take: (value: string, name: string, headers: RpcHeaders) => void): void {
    for (const [name, value] of this) {
      take(value, name, this);
    }
  }

  get(name: string): null | string {
    return this.lines.get(nameOf(name))?.join(', ') ?? null;
  }

  getSetCookie(): string[] {
    return [...(this.lines.get(SEPARATE) ?? [])];
  }

  has(name: string): boolean {
    return this.lines.has(nameOf(name));
  }

  *keys(): IterableIterator<string> {
    for (const [name] of this) {
      yield name;
    }
  }

  set(name: string, value: string): void {
    this.lines.set(nameOf(name), [valueOf(value)]);
  }

  *values(): IterableIterator<string> {
    for (const [, value] of this) {
      yield value;
    }
  }

  [Symbol.iterator](): IterableIterator<[string, string]> {
    return this.entries();
  }
}
