/** Parameters of property tests: a fixed seed in CI, a time limit under `npm run fuzz`. */
import fc from 'fast-check';

const CI_SEED = 20_261;
const MS_PER_MINUTE = 60_000;

function fuzzMinutes(): number {
  return Number(process.env.STALLPADDLE_FUZZ_MINUTES ?? 0);
}

/**
 * Returns the fast-check parameters of a property.
 *
 * @param histories number of generated histories in CI
 */
function parametersOf(histories: number): fc.Parameters<unknown> {
  const seed = Number(process.env.STALLPADDLE_FUZZ_SEED ?? CI_SEED);
  if (fuzzMinutes() === 0) {
    return {numRuns: histories, seed};
  }
  return {
    interruptAfterTimeLimit: fuzzMinutes() * MS_PER_MINUTE,
    markInterruptAsFailure: false,
    numRuns: Number.MAX_SAFE_INTEGER,
    seed,
  };
}

/**
 * Checks a property over generated histories; the error of a failure contains the seed and the shrunk history.
 *
 * @param name name of the histories in the output of `npm run fuzz`
 * @param property property to check
 * @param histories number of generated histories in CI
 */
export async function assertHistories<T>(
  name: string,
  property: fc.IAsyncProperty<T> | fc.IProperty<T>,
  histories: number,
): Promise<void> {
  const details = await fc.check(property as fc.IAsyncProperty<T>, parametersOf(histories));
  if (details.failed) {
    throw new Error(await fc.asyncDefaultReportMessage(details), {
      cause: details.errorInstance,
    });
  }
  if (fuzzMinutes() > 0) {
    process.stdout.write(`${name}: ${details.numRuns} histories, seed ${details.seed}\n`);
  }
}

/** Returns the timeout of a property test, in milliseconds. */
export function fuzzTimeoutMs(): number {
  return (fuzzMinutes() + 2) * MS_PER_MINUTE;
}
