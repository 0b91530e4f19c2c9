/**
 * Input and output lines of batch files, in the form that OpenAI's batch interface uses.
 */
import {errorMessage, generateId, refuse} from 'stallpaddle';
import {z} from 'zod';

const itemSchema = z.object({
  body: z.looseObject({model: z.string().min(1)}),
  custom_id: z.string().min(1).max(512),
  method: z.literal('POST'),
  url: z.string().startsWith('/'),
});

/** One item of a batch file. */
export interface BatchItem {
  readonly body: Readonly<Record<string, unknown>> & {readonly model: string};
  readonly customId: string;
  readonly url: string;
}

/**
 * Reads an input line.
 *
 * @param text the line
 * @param line its number, from 1
 * @throws {RefusalError} `badRequest` that names the line
 */
export function parseItem(text: string, line: number): BatchItem {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw refuse('badRequest', `line ${line} is not JSON: ${errorMessage(err)}`, {line});
  }
  const result = itemSchema.safeParse(value);
  if (!result.success) {
    const [issue] = result.error.issues;
    const path = issue?.path.join('.') ?? '';
    throw refuse('badRequest', `line ${line}: ${path}: ${issue?.message}`, {line, path});
  }
  return {body: result.data.body, customId: result.data.custom_id, url: result.data.url};
}

/**
 * Line of an item that was answered.
 *
 * @param customId the item's name
 * @param requestId id of the attempt that answered
 * @param status HTTP status of the answer
 * @param body the answer, parsed
 */
export function outputLine(
  customId: string,
  requestId: string,
  status: number,
  body: unknown,
): string {
  return JSON.stringify({
    custom_id: customId,
    error: null,
    id: generateId('batch_req'),
    response: {body, request_id: requestId, status_code: status},
  });
}

/**
 * Line of an item that ended without an answer.
 *
 * @param customId the item's name
 * @param code stable reason
 * @param message one sentence
 */
export function errorLine(customId: string, code: string, message: string): string {
  return JSON.stringify({
    custom_id: customId,
    error: {code, message},
    id: generateId('batch_req'),
    response: null,
  });
}

/**
 * Line of an item that may have run and whose end nobody knows.
 *
 * @param customId the item's name
 */
export function lostEndLine(customId: string): string {
  return errorLine(customId, 'mayHaveRun', 'the item may have run and its end is not known');
}
