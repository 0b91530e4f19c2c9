/** Statuses that the final response to a request can have (RFC 9110, section 15). */

const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Whether a server that has sent a status has responded. Node accepts any three digits, and an unrequested change of the protocol,
 * as a final response.
 *
 * @param status the status
 */
export function isFinalStatus(status: number | undefined): status is number {
  return status !== undefined && status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}
