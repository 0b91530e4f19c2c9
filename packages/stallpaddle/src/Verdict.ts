/**
 * Verdicts: whether a refused request may have run on a backend server.
 */

/**
 * - `notRun`: no backend server received the request; it is safe to retry.
 * - `ran`: a backend server ran the request and its outcome is known.
 * - `mayHaveRun`: a backend server may have run the request; only a repeatable one may be retried.
 */
export type Verdict = 'mayHaveRun' | 'notRun' | 'ran';

/** Response header that carries the verdict on every refusal and error. */
export const VERDICT_HEADER = 'x-stallpaddle-verdict';

const CERTAINTY: Readonly<Record<Verdict, number>> = {mayHaveRun: 1, notRun: 0, ran: 2};

/**
 * Joint verdict of several attempts at one request: `notRun` only if every attempt is `notRun`.
 *
 * @param a verdict of some attempts
 * @param b verdict of other attempts
 */
export function joinVerdicts(a: Verdict, b: Verdict): Verdict {
  return CERTAINTY[a] >= CERTAINTY[b] ? a : b;
}
