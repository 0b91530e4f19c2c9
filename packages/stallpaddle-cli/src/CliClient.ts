/**
 * HTTP calls of the command line.
 */
import {errorMessage, refuse, type Verdict, VERDICT_HEADER} from 'stallpaddle';
import {callServer, type ServerAnswer} from 'stallpaddle-load';
import {z} from 'zod';

const TIMEOUT_MS = 30_000;

const errorSchema = z.object({error: z.object({code: z.string(), message: z.string()})});

/** A call that the server refused or that never reached it. */
export class CliCallError extends Error {
  override readonly name = 'CliCallError';

  /**
   * @param code stable reason
   * @param verdict whether the request may have run
   * @param message one sentence
   */
  constructor(
    readonly code: string,
    readonly verdict: Verdict,
    message: string,
  ) {
    super(message);
  }
}

/** Where calls go and who makes them. */
export interface CliTarget {
  readonly host: string;
  readonly key: string;
  readonly port: number;
}

/** What a call sends. */
export interface CliRequest {
  readonly body?: Uint8Array;
  readonly contentType?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'POST';
  readonly path: string;
}

/**
 * Reads `HOST:PORT`.
 *
 * @param text as given
 */
export function parseServer(text: string): {readonly host: string; readonly port: number} {
  const match = /^\[?([0-9a-fA-F.:]+?)\]?:(\d+)$/.exec(text);
  if (match === null) {
    throw refuse('badRequest', `--server must be HOST:PORT with an IP number, not ${text}`);
  }
  return {host: match[1]!, port: Number(match[2])};
}

function verdictOf(header: string | string[] | undefined): Verdict {
  return header === 'notRun' || header === 'ran' ? header : 'mayHaveRun';
}

/**
 * Makes a call and returns the answer's text.
 *
 * @param target where it goes
 * @param call what it sends
 * @throws {CliCallError} when the answer is an error or none comes
 */
export async function callText(target: CliTarget, call: CliRequest): Promise<string> {
  const {contentType = 'application/json', headers, ...rest} = call;
  let answer: ServerAnswer;
  try {
    answer = await callServer({
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
  if (answer.status >= 400) {
    throw errorOf(answer.text, verdictOf(answer.headers[VERDICT_HEADER]));
  }
  return answer.text;
}

function errorOf(text: string, verdict: Verdict): CliCallError {
  try {
    const {error} = errorSchema.parse(JSON.parse(text));
    return new CliCallError(error.code, verdict, error.message);
  } catch {
    return new CliCallError('unavailable', verdict, text.slice(0, 200));
  }
}

/**
 * Makes a call and parses the answer.
 *
 * @param target where it goes
 * @param call what it sends
 * @param schema what is expected
 */
export async function callJson<T>(
  target: CliTarget,
  call: CliRequest,
  schema: z.ZodType<T>,
): Promise<T> {
  return schema.parse(JSON.parse(await callText(target, call)));
}
