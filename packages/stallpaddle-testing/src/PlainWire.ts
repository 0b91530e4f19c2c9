/**
 * The words of a made-up platform, for tests of the relay and the dispatcher.
 */
import type {HeaderLine, RelayWire} from 'stallpaddle-relay';

/** Header names of the made-up platform. */
export const PLAIN = {
  customer: 'x-customer',
  declined: 'x-declined',
  engine: 'x-engine',
  /** Where an engine says how many requests it holds. */
  occupancy: '/occupancy',
  request: 'x-request',
  resumeAfter: 'x-resume-after',
  signature: 'x-signature',
  /** Where an engine is told to stop a run. */
  stop: '/stop',
  timeLeft: 'x-time-left',
  /** Content type that a stand-in engine gives an answer without a length. */
  wanted: 'x-wanted-type',
} as const;

function text(value: string | string[] | undefined): string | null {
  return typeof value === 'string' ? value : null;
}

/** See the module's comment. */
export const plainRelay: RelayWire = {
  callerHeaders: ['authorization', PLAIN.customer],
  engineHeaders: ({customer, deadlineMs, engine, requestId, resumeAfter}) => {
    const lines: HeaderLine[] = [
      [PLAIN.request, requestId],
      [PLAIN.engine, engine],
    ];
    if (customer !== undefined) {
      lines.push([PLAIN.customer, customer]);
    }
    if (deadlineMs !== null) {
      lines.push([PLAIN.timeLeft, String(deadlineMs)]);
    }
    if (resumeAfter !== null) {
      lines.push([PLAIN.resumeAfter, resumeAfter]);
    }
    return lines;
  },
  occupancyPath: PLAIN.occupancy,
  readCaller: (headers) => {
    const requestId = text(headers[PLAIN.request]);
    const deadline = text(headers[PLAIN.timeLeft]);
    return requestId === null
      ? null
      : {
          caller: text(headers.authorization) ?? '',
          deadlineMs: deadline === null ? null : Number(deadline),
          requestId,
          resumeAfter: text(headers[PLAIN.resumeAfter]),
        };
  },
  readOccupancy: (body) => {
    const running = body.split(' ').filter((id) => id !== '');
    return {running, total: running.length};
  },
  readResponse: (status, headers) => ({
    notRun: headers[PLAIN.declined] !== undefined,
    otherEngine: status === 421,
    requestId: text(headers[PLAIN.request]),
    signed: headers[PLAIN.signature] !== undefined,
  }),
  readRetainedState: (body) => (body === '' ? null : body),
  releaseRetainedState: (remains) => ({
    body: '',
    method: 'DELETE',
    path: `${PLAIN.stop}/${remains}`,
  }),
  stopRun: (requestId) => ({body: '', method: 'POST', path: `${PLAIN.stop}/${requestId}`}),
};
