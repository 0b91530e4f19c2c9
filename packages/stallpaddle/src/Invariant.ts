/**
 * Assertions for conditions that the code itself must uphold.
 */

/** Raised when the program's own assumptions do not hold; never caused by input. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Throws unless the condition holds.
 *
 * @param condition what must be true
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
 * @param value the variant that no case took
 */
export function unreachable(value: never): never {
  throw new InvariantError(`unexpected variant ${JSON.stringify(value)}`);
}
