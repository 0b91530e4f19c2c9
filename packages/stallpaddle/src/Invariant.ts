/**
 * Assertions of internal invariants.
 */

/** Thrown when an internal invariant is violated; never caused by input. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Throws unless the condition holds.
 *
 * @param condition condition that must hold
 * @param message text in which each `%s` is replaced by the next argument
 */
export function invariant(
  condition: unknown,
  message: string,
  ...args: readonly unknown[]
): asserts condition {
  if (condition) {
    return;
  }
  let next = 0;
  throw new InvariantError(message.replaceAll('%s', () => String(args[next++])));
}

/**
 * Marks a branch that an exhaustive switch can never reach.
 *
 * @param value the unhandled variant
 */
export function unreachable(value: never): never {
  throw new InvariantError(`unexpected variant ${JSON.stringify(value)}`);
}
