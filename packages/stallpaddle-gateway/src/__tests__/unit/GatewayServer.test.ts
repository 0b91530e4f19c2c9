/**
 * Arbitrary input of callers: the server always responds, never with status 500, and does not crash.
 */
import type {EngineAdapter} from 'stallpaddle-engine';

import fc from 'fast-check';
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {refuse} from 'stallpaddle';
import {applyChanges, EMPTY_CONFIG} from 'stallpaddle-control';
import {assertHistories, fuzzTimeoutMs} from 'stallpaddle-testing';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';

import {GatewayServer} from '../../GatewayServer';
import {createContext} from './GatewayFixtures';

const HOST = '127.3.1.1';
const PORT = 8100;
const CUSTOMER_KEY = 'customer-key';
const OPERATOR_KEY = 'operator-key';

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

const noEngine: EngineAdapter = {
  generate: () => Promise.reject(refuse('unavailable', 'no engine here')),
  order: () => Promise.resolve({kind: 'accepted'}),
  status: () => Promise.reject(new Error('unexpected call')),
};

/** Sends a raw request and returns the status line of the response. */
function sendRaw(text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(PORT, HOST);
    let response = '';
    socket.on('data', (data) => {
      response += data.toString();
    });
    socket.on('error', reject);
    socket.on('close', () => resolve(response.split('\r\n', 1)[0] ?? ''));
    socket.end(text);
  });
}

describe('GatewayServer', () => {
  const customer = {keyHash: sha256(CUSTOMER_KEY), requestsPerSecond: null, weight: 1};
  const config = applyChanges(EMPTY_CONFIG, [{key: 'c', record: customer, table: 'customers'}]);
  const unavailable = (): Promise<never> =>
    Promise.reject(refuse('unavailable', 'no group here', {retryAfterMs: 1}));
  const port = {command: unavailable, query: unavailable, readBlob: unavailable};
  const server = new GatewayServer(
    createContext(noEngine, {
      config: () => config,
      control: port,
      ledger: {all: [port], forCustomer: () => port},
      operatorKeys: new Map([['op', sha256(OPERATOR_KEY)]]),
    }),
  );

  beforeAll(() => server.start(HOST, PORT));
  afterAll(() => server.stop());

  test(
    'responds to any request, and never with status 500',
    async () => {
      const word = fc.constantFrom(
        '',
        'v1',
        'chat',
        'completions',
        'files',
        'batches',
        'x',
        'cancel',
      );
      const path = fc.oneof(
        fc
          .array(
            fc.oneof(
              word,
              fc.constantFrom('admin', 'plans', 'audit?after=x', 'services', '%zz', '..'),
            ),
            {maxLength: 5},
          )
          .map((parts) => `/${parts.join('/')}`),
        fc.constantFrom(
          '/v1/chat/completions',
          '/v1/batches',
          '/admin/plans',
          '//',
          '/addresses?zone=%00',
        ),
      );
      const body = fc.oneof(
        fc.json(),
        fc.string(),
        fc.constantFrom(
          '{"model":"m","messages":[{"role":"user"}]}',
          '{"kind":"drainVm","vm":"a"}',
        ),
      );
      const request = fc.record({
        body,
        key: fc.constantFrom(CUSTOMER_KEY, OPERATOR_KEY, 'other', ''),
        method: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'HEAD', 'NONSENSE'),
        path,
        repeatable: fc.constantFrom('true', 'false', 'maybe'),
        type: fc.constantFrom(
          'application/json',
          'multipart/form-data',
          'multipart/form-data; boundary=b',
        ),
      });
      const property = fc.asyncProperty(request, async (req) => {
        const head = [
          `${req.method} ${req.path} HTTP/1.1`,
          'host: vm',
          'connection: close',
          `authorization: Bearer ${req.key}`,
          `content-type: ${req.type}`,
          `content-length: ${Buffer.byteLength(req.body)}`,
          `x-stallpaddle-repeatable: ${req.repeatable}`,
        ];
        const line = await sendRaw(`${head.join('\r\n')}\r\n\r\n${req.body}`);
        expect(line).toMatch(/^HTTP\/1\.1 \d{3}/);
        expect(line).not.toMatch(/^HTTP\/1\.1 500/);
      });
      await assertHistories('requests', property, 600);
    },
    fuzzTimeoutMs(),
  );

  test('survives input that is not HTTP', async () => {
    await sendRaw('\u0000\u0001 nonsense\r\n\r\n').catch(() => '');
    await sendRaw(`GET /healthz HTTP/1.1\r\n${'a: b\r\n'.repeat(10_000)}`).catch(() => '');
    const line = await sendRaw('GET /healthz HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n');
    expect(line).toBe('HTTP/1.1 200 OK');
  });
});
