import OpenAI, {toFile} from 'openai';
import {delay} from 'stallpaddle';
import {answerWords} from 'stallpaddle-standin';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';

/**
 * The `openai` client library works unchanged: chat, streams, files, batches, models.
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
  let test4: TestFleet;

  beforeAll(async () => {
    test4 = await startFleet(LAYOUT);
  });

  afterAll(async () => {
    await test4.stop();
  });

  test('gets whole and streamed chat completions', async () => {
    const client = clientOf(3, 0);
    const messages = [{content: 'Check article four.', role: 'user' as const}];
    const wanted = answerWords('Check article four.', 6).join(' ');
    const whole = await client.chat.completions.create({max_tokens: 6, messages, model: MODEL});
    expect(whole.choices[0]?.message.content).toBe(wanted);
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
    expect(text).toBe(wanted);
    const models = await client.models.list();
    expect(models.data.map(({id}) => id)).toEqual([MODEL]);
  });

  test('runs a batch and reads its results at another VM', async () => {
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
    const other = clientOf(1, 1);
    let job = await other.batches.retrieve(created.id);
    while (job.status === 'in_progress') {
      await delay(50);
      job = await other.batches.retrieve(created.id);
    }
    expect(job.status).toBe('completed');
    expect(job.request_counts).toEqual({completed: 37, failed: 3, total: 40});
    const output = await (await other.files.content(job.output_file_id!)).text();
    const errors = await (await other.files.content(job.error_file_id!)).text();
    const idsOf = (text: string): readonly string[] =>
      text
        .trim()
        .split('\n')
        .map((line) => (JSON.parse(line) as {custom_id: string}).custom_id);
    expect([...idsOf(output), ...idsOf(errors)].toSorted()).toEqual(batch.customIds.toSorted());
    expect(idsOf(errors).toSorted()).toEqual(batch.uncompletable.toSorted());
    const input = await (await other.files.content(file.id)).text();
    expect(input).toBe(batch.jsonl);
  });

  test("refuses another customer's file and job as if there were none", async () => {
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
    const stranger = clientOf(0, 0);
    await expect(stranger.files.retrieve(file.id)).rejects.toMatchObject({status: 404});
    await expect(stranger.files.content(file.id)).rejects.toMatchObject({status: 404});
    await expect(stranger.batches.retrieve(created.id)).rejects.toMatchObject({status: 404});
    await expect(stranger.batches.cancel(created.id)).rejects.toMatchObject({status: 404});
    expect((await stranger.files.list()).data).toEqual([]);
  });

  test('says notRun for every request that it refuses at the door', async () => {
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
      const res = await response;
      const body = (await res.json()) as {error: {code: string; verdict: string}};
      expect(res.status).toBe(status);
      expect(body.error.code).toBe(code);
      expect(body.error.verdict).toBe('notRun');
      expect(res.headers.get('x-stallpaddle-verdict')).toBe('notRun');
    }
  });

  test('names the bad line of a batch file and accepts nothing of it', async () => {
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
