/**
 * HTTP client of the command line.
 */
import {errorMessage, refuse, type Verdict, VERDICT_HEADER} from 'stallpaddle';
import {callServer, type ServerAnswer} from 'stallpaddle-load';
import {z} from 'zod';

const TIMEOUT_MS = 30_000;

const errorSchema = z.object({error: z.object({code: z.string(), message: z.string()})});

/** A call that failed or whose response is an error. */
export class CliCallError extends Error {
  override readonly name = 'CliCallError';

  /**
   * @param code error code
   * @param verdict whether the request may have run
   * @param message error message
   */
  constructor(
    readonly code: string,
    readonly verdict: Verdict,
    message: string,
  ) {
    super(message);
  }
}

/** Address of the VM and the key that authenticates the caller. */
export interface CliTarget {
  readonly host: string;
  readonly key: string;
  readonly port: number;
}

/** Request of one call. */
export interface CliRequest {
  readonly body?: Uint8Array;
  readonly contentType?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'POST';
  readonly path: string;
}

/**
 * Parses `HOST:PORT`.
 *
 * @param text value of `--server`
 * @throws {RefusalError} when it isn't an IP address and a port
 */
export function parseServer(text: string): {readonly host: string; readonly port: number} {
  const match = /^\[?([0-9a-fA-F.:]+?)\]?:(\d+)$/.exec(text);
  if (match === null) {
    throw refuse('badRequest', `--server must be HOST:PORT with an IP address, not ${text}`);
  }
  return {host: match[1]!, port: Number(match[2])};
}

function verdictOf(header: string | string[] | undefined): Verdict {
  return header === 'notRun' || header === 'ran' ? header : 'mayHaveRun';
}

/**
 * Makes a call and returns the response body as text.
 *
 * @param target VM that receives the call
 * @param call the request
 * @throws {CliCallError} when the call fails or the response is an error
 */
export async function callText(target: CliTarget, call: CliRequest): Promise<string> {
  const {contentType = 'application/json', headers, ...rest} = call;
  let response: ServerAnswer;
  try {
    response = await callServer({
      ...target,
      ...rest,
      headers: {...headers, 'content-type': contentType},
      timeoutMs: TIMEOUT_MS,
    });
  } catch (err) {
    const refused = err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED';
    const verdict = refused ? 'notRun' : 'mayHaveRun';
    throw new CliCallError('unavailable', verdict, errorMessage(err));
  }
  if (response.status >= 400) {
    throw parseError(response.text, verdictOf(response.headers[VERDICT_HEADER]));
  }
  return response.text;
}

function parseError(text: string, verdict: Verdict): CliCallError {
  try {
    const {error} = errorSchema.parse(JSON.parse(text));
    return new CliCallError(error.code, verdict, error.message);
  } catch {
    return new CliCallError('unavailable', verdict, text.slice(0, 200));
  }
}

/**
 * Makes a call and parses the response.
 *
 * @param target VM that receives the call
 * @param call the request
 * @param schema schema of the response
 * @throws {CliCallError} when the call fails or the response is an error
 */
export async function callJson<T>(
  target: CliTarget,
  call: CliRequest,
  schema: z.ZodType<T>,
): Promise<T> {
  return schema.parse(JSON.parse(await callText(target, call)));
}
