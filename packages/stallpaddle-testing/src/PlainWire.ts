/** Wire format of a fictitious platform, for tests of the relay and the dispatcher. */
import type {IncomingHttpHeaders} from 'node:http';
import type {HeaderLine, RelayWire} from 'stallpaddle-relay';

/** Header names and paths of the fictitious platform. */
export const PLAIN = {
  customer: 'x-customer',
  declined: 'x-declined',
  engine: 'x-engine',
  firstAttempt: 'x-first-attempt',
  /** Path of an engine's occupancy. */
  occupancy: '/occupancy',
  request: 'x-request',
  resumeAfter: 'x-resume-after',
  /** Ids of the shared parts of the prompt, separated by spaces. */
  sharedParts: 'x-shared-parts',
  signature: 'x-signature',
  /** Before the engine's start time, among the words of its occupancy. */
  start: 'start=',
  /** Path prefix for stopping a run or releasing its retained state. */
  stop: '/stop',
  timeLeft: 'x-time-left',
  /** Request header with the content type of an unframed response of the fake engine. */
  wanted: 'x-wanted-type',
} as const;

function sharedParts(headers: IncomingHttpHeaders): readonly string[] {
  return (text(headers[PLAIN.sharedParts]) ?? '').split(' ').filter((part) => part !== '');
}

function text(value: string | string[] | undefined): string | null {
  return typeof value === 'string' ? value : null;
}

/** Maps relay requests and responses to the headers of the fictitious platform. */
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
          firstAttempt: text(headers[PLAIN.firstAttempt]),
          requestId,
          resumeAfter: text(headers[PLAIN.resumeAfter]),
          sharedParts: sharedParts(headers),
        };
  },
  readOccupancy: (body) => {
    const words = body.split(' ').filter((word) => word !== '');
    const start = words.find((word) => word.startsWith(PLAIN.start));
    const running = words.filter((word) => word !== start);
    const startedAtMs = start === undefined ? null : Number(start.slice(PLAIN.start.length));
    return {running, startedAtMs, total: running.length};
  },
  readResponse: (status, headers) => ({
    notRun: headers[PLAIN.declined] !== undefined,
    otherEngine: status === 421,
    requestId: text(headers[PLAIN.request]),
    signed: headers[PLAIN.signature] !== undefined,
  }),
  readRetainedState: (body) => (body === '' ? null : body),
  readSharedParts: sharedParts,
  releaseRetainedState: (requestId) => ({
    body: '',
    method: 'DELETE',
    path: `${PLAIN.stop}/${requestId}`,
  }),
  stopRun: (requestId) => ({body: '', method: 'POST', path: `${PLAIN.stop}/${requestId}`}),
};
