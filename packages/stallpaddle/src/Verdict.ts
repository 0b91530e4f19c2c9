/**
 * Whether a request may have reached a backend server. Every refusal carries one.
 */

/**
 * - `notRun`: no backend server saw the request; it is safe to send again.
 * - `ran`: a backend server took the request and its end is known.
 * - `mayHaveRun`: the request may have been taken; only a repeatable one may be sent again.
 */
export type Verdict = 'mayHaveRun' | 'notRun' | 'ran';

/** Response header that carries the verdict on every refusal and error. */
export const VERDICT_HEADER = 'x-stallpaddle-verdict';

const CERTAINTY: Readonly<Record<Verdict, number>> = {mayHaveRun: 1, notRun: 0, ran: 2};

/**
 * What holds of a request after several attempts: `notRun` only if it holds of each.
 *
 * @param a verdict of some attempts
 * @param b verdict of others
 */
export function joinVerdicts(a: Verdict, b: Verdict): Verdict {
  return CERTAINTY[a] >= CERTAINTY[b] ? a : b;
}
