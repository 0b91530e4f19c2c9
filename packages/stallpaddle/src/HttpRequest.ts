/** Opens requests to other servers. */
import {type ClientRequest, request, type RequestOptions} from 'node:http';

import {errorMessage} from './Errors';
import {registerHeadLimit} from './HeadLimit';

/**
 * Opens a request. Node throws where HTTP or TCP can't carry an option, such as a line feed in a header, a blank in the path
 * or a port out of range. Options come from configurations, jobs and engines, so that is no error of the program. What the
 * server sends before its response is bounded.
 *
 * @param options options of the request
 * @returns the request, or why it can't be sent
 */
export function openRequest(options: RequestOptions): ClientRequest | Error {
  try {
    const req = request(options);
    registerHeadLimit(req);
    return req;
  } catch (err) {
    return err instanceof Error ? err : new Error(errorMessage(err));
  }
}
