/**
 * Request that is sent to an engine for a caller's request.
 */
import type {EngineView} from 'stallpaddle-fleet';

import type {EngineRequest} from './RelayEngineCall';
import type {RelayRequest} from './RelayTypes';
import type {EngineCallMetadata, RelayWire} from './RelayWire';

import {engineHeaders, forwardedHeaders} from './RelayHeaders';

/**
 * Builds the request for an engine.
 *
 * @param wire format of the headers
 * @param req the caller's request
 * @param engine the engine
 * @param attempt time left and, for a resumed stream, the last event received
 */
export function makeEngineRequest(
  wire: RelayWire,
  {body, caller, metadata, method, path, rawHeaders}: RelayRequest,
  {address, id}: EngineView,
  attempt: Pick<EngineCallMetadata, 'deadlineMs' | 'resumeAfter'>,
): EngineRequest {
  const {requestId} = metadata;
  const headers = engineHeaders(wire, {
    ...attempt,
    customer: caller.kind === 'customer' ? caller.name : undefined,
    engine: id,
    requestId,
  });
  const replaced = caller.kind === 'untold' ? [] : wire.callerHeaders;
  return {
    address,
    body,
    headers: forwardedHeaders(rawHeaders, headers, replaced),
    method,
    path,
    requestId,
  };
}
