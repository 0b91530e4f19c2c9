import OpenAI, {toFile} from 'openai';
import {delay} from 'stallpaddle';
import {answerWords} from 'stallpaddle-standin';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';

/**
 * Guards compatibility with the `openai` client library: chat, streams, files, batches and models.
 */
import type {TestFleet} from './TestFleet';

import {batchFile} from '../../DemoWorkload';
import {vmAddress} from '../../FleetLayout';
import {smallLayout, startFleet} from './TestFleet';

const LAYOUT = smallLayout('127.1.1');
const MODEL = 'balcao-llm';

function clientOf(vm: number, customer: number): OpenAI {
  const {host, port} = vmAddress(LAYOUT, vm);
  return new OpenAI({
    apiKey: LAYOUT.customers[customer]!.key,
    baseURL: `http://${host}:${port}/v1`,
    maxRetries: 0,
  });
}

describe('openai client', () => {
  let testFleet: TestFleet;

  beforeAll(async () => {
    testFleet = await startFleet(LAYOUT);
  });

  afterAll(async () => {
    await testFleet.stop();
  });

  test('receives complete and streamed chat completions', async () => {
    const client = clientOf(3, 0);
    const messages = [{content: 'Check article four.', role: 'user' as const}];
    const expected = answerWords('Check article four.', 6).join(' ');
    const completion = await client.chat.completions.create({
      max_tokens: 6,
      messages,
      model: MODEL,
    });
    expect(completion.choices[0]?.message.content).toBe(expected);
    const stream = await client.chat.completions.create({
      max_tokens: 6,
      messages,
      model: MODEL,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
    }
    expect(text).toBe(expected);
    const models = await client.models.list();
    expect(models.data.map(({id}) => id)).toEqual([MODEL]);
  });

  test('creates a batch at one VM and reads its results from another', async () => {
    const batch = batchFile('filing', 40, 13, MODEL);
    const client = clientOf(3, 1);
    const file = await client.files.create({
      file: await toFile(Buffer.from(batch.jsonl), 'filings.jsonl'),
      purpose: 'batch',
    });
    const created = await client.batches.create({
      completion_window: '24h',
      endpoint: '/v1/chat/completions',
      input_file_id: file.id,
    });
    const otherClient = clientOf(1, 1);
    let job = await otherClient.batches.retrieve(created.id);
    while (job.status === 'in_progress') {
      await delay(50);
      job = await otherClient.batches.retrieve(created.id);
    }
    expect(job.status).toBe('completed');
    expect(job.request_counts).toEqual({completed: 37, failed: 3, total: 40});
    const output = await (await otherClient.files.content(job.output_file_id!)).text();
    const errors = await (await otherClient.files.content(job.error_file_id!)).text();
    const idsOf = (text: string): readonly string[] =>
      text
        .trim()
        .split('\n')
        .map((line) => (JSON.parse(line) as {custom_id: string}).custom_id);
    expect([...idsOf(output), ...idsOf(errors)].toSorted()).toEqual(batch.customIds.toSorted());
    expect(idsOf(errors).toSorted()).toEqual(batch.uncompletable.toSorted());
    const input = await (await otherClient.files.content(file.id)).text();
    expect(input).toBe(batch.jsonl);
  });

  test("returns 404 for another customer's file and job", async () => {
    const batch = batchFile('private', 2, 0, MODEL);
    const owner = clientOf(0, 1);
    const file = await owner.files.create({
      file: await toFile(Buffer.from(batch.jsonl), 'private.jsonl'),
      purpose: 'batch',
    });
    const created = await owner.batches.create({
      completion_window: '24h',
      endpoint: '/v1/chat/completions',
      input_file_id: file.id,
    });
    const otherCustomer = clientOf(0, 0);
    await expect(otherCustomer.files.retrieve(file.id)).rejects.toMatchObject({status: 404});
    await expect(otherCustomer.files.content(file.id)).rejects.toMatchObject({status: 404});
    await expect(otherCustomer.batches.retrieve(created.id)).rejects.toMatchObject({status: 404});
    await expect(otherCustomer.batches.cancel(created.id)).rejects.toMatchObject({status: 404});
    expect((await otherCustomer.files.list()).data).toEqual([]);
  });

  test('returns the verdict notRun for every request rejected before it runs', async () => {
    const {host, port} = vmAddress(LAYOUT, 3);
    const send = (
      path: string,
      body: string,
      headers: Readonly<Record<string, string>>,
    ): Promise<Response> => fetch(`http://${host}:${port}${path}`, {body, headers, method: 'POST'});
    const key = {authorization: `Bearer ${LAYOUT.customers[0]!.key}`};
    const chat = '/v1/chat/completions';
    const cases: readonly (readonly [Promise<Response>, number, string])[] = [
      [send(chat, '{}', {}), 401, 'unauthorized'],
      [send(chat, '{}', {authorization: 'Bearer wrong'}), 401, 'unauthorized'],
      [send(chat, '{"model":', key), 400, 'badRequest'],
      [send(chat, '{"model":"x","messages":[]}', key), 400, 'badRequest'],
      [
        send(chat, '{"model":"none","messages":[{"role":"user","content":"a"}]}', key),
        404,
        'modelNotFound',
      ],
      [send(chat, `{"a":"${'x'.repeat(9_000_000)}"}`, key), 413, 'bodyTooLarge'],
      [send('/admin/plans', '{}', key), 403, 'forbidden'],
      [send('/nowhere', '{}', key), 404, 'notFound'],
    ];
    for (const [response, status, code] of cases) {
      const received = await response;
      const body = (await received.json()) as {error: {code: string; verdict: string}};
      expect(received.status).toBe(status);
      expect(body.error.code).toBe(code);
      expect(body.error.verdict).toBe('notRun');
      expect(received.headers.get('x-stallpaddle-verdict')).toBe('notRun');
    }
  });

  test('reports the number of an invalid line in a batch file and stores no part of the file', async () => {
    const client = clientOf(3, 0);
    const good = batchFile('good', 3, 0, MODEL).jsonl;
    const upload = (text: string): Promise<unknown> =>
      toFile(Buffer.from(text), 'bad.jsonl').then((file) =>
        client.files.create({file, purpose: 'batch'}),
      );
    await expect(upload(`${good}not json\n`)).rejects.toMatchObject({
      error: {code: 'badRequest', line: 4, verdict: 'notRun'},
      status: 400,
    });
    await expect(upload(good + good)).rejects.toMatchObject({error: {line: 4}, status: 400});
    await expect(upload('')).rejects.toMatchObject({status: 400});
    expect((await client.files.list()).data).toEqual([]);
  });
});
