/**
 * Input and output lines of batch files in the format of OpenAI's batch API.
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
 * Parses an input line.
 *
 * @param text the line
 * @param line its number, from 1
 * @throws {RefusalError} `badRequest` with the number of the line
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
 * Formats the output line of an item that got a response.
 *
 * @param customId the item's `custom_id`
 * @param requestId id of the attempt
 * @param status HTTP status of the response
 * @param body the parsed response body
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
 * Formats the error line of an item without a response.
 *
 * @param customId the item's `custom_id`
 * @param code error code
 * @param message error message
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
 * Formats the error line of an item that may have run and whose outcome is unknown.
 *
 * @param customId the item's `custom_id`
 */
export function unknownOutcomeLine(customId: string): string {
  return errorLine(customId, 'mayHaveRun', 'the item may have run; its outcome is unknown');
}
