import {delay} from 'stallpaddle';
import {callServer} from 'stallpaddle-load';
import {answerWords} from 'stallpaddle-standin';
import {afterEach, describe, expect, test} from 'vitest';
import {z} from 'zod';

/**
 * Checks that requests and batch items are neither lost nor duplicated when processes are killed or paused, disks are
 * lost and connections are closed.
 */
import type {TestFleet} from './TestFleet';

import {countItems, submitBatch, waitForBatch} from '../../DemoBatches';
import {DemoCallers} from '../../DemoCallers';
import {DemoOperator} from '../../DemoOperator';
import {batchFile} from '../../DemoWorkload';
import {
  engineAddress,
  engineName,
  type FleetLayout,
  serviceAddress,
  vmAddress,
} from '../../FleetLayout';
import {smallLayout, startFleet} from './TestFleet';
import {TestProxy} from './TestProxy';

const MODEL = 'balcao-llm';
const TIMEOUT_MS = 30_000;
/**
 * Time after a cancellation is acknowledged within which VMs may still start items of the job, in milliseconds. A VM
 * learns that its leases are revoked from its next report: 50 ms after an item ends, and at least every second.
 */
const CANCEL_EFFECTIVE_MS = 2_000;

const executionsSchema = z.object({executions: z.record(z.string(), z.number())});
const statusSchema = z.object({
  replicas: z.array(
    z.object({
      group: z.string(),
      leader: z.string().nullable(),
      role: z.string(),
      self: z.string(),
      voters: z.array(z.string()),
    }),
  ),
  vms: z.array(z.object({leaving: z.boolean(), live: z.boolean(), vm: z.string()})),
});

type Status = z.infer<typeof statusSchema>;

function callersOf(layout: FleetLayout, customer: number): DemoCallers {
  const vms = Array.from({length: layout.vms}, (_, index) => vmAddress(layout, index));
  return new DemoCallers(vms, layout.customers[customer]!.key, MODEL);
}

async function executionsAt(address: {host: string; port: number}): Promise<Map<string, number>> {
  const {text} = await callServer({...address, path: '/executions'});
  return new Map(Object.entries(executionsSchema.parse(JSON.parse(text)).executions));
}

async function statusOf(layout: FleetLayout, vm: number): Promise<Status> {
  const {text} = await callServer({
    ...vmAddress(layout, vm),
    key: layout.operatorKey,
    path: '/admin/status',
  });
  return statusSchema.parse(JSON.parse(text));
}

async function waitUntil(condition: string, check: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS;
  while (!(await check().catch(() => false))) {
    if (Date.now() > deadline) {
      throw new Error(`timed out waiting until ${condition}`);
    }
    await delay(50);
  }
}

/** Index of the VM that leads a group, as reported by the observer, a VM with a disk. */
async function leaderOf(layout: FleetLayout, observer: number, group: string): Promise<number> {
  let leader = -1;
  await waitUntil(`${group} has a leader`, async () => {
    const replica = (await statusOf(layout, observer)).replicas.find((one) => one.group === group);
    leader = Number(/-vm-(\d+)\//.exec(replica?.leader ?? '')?.[1] ?? 0) - 1;
    return leader >= 0;
  });
  return leader;
}

describe('a fleet', () => {
  let running: TestFleet | undefined;

  afterEach(async () => {
    await running?.stop();
    running = undefined;
  });

  test('neither loses nor duplicates an item when a ledger leader and an engine are killed', async () => {
    const layout = smallLayout('127.1.2');
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('item', 300, 50, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    const leader = await leaderOf(layout, 0, 'ledger-0');
    await fleet.kill(fleet.vmProcess(leader).name);
    await fleet.kill(engineName(layout, 0));
    const ended = await waitForBatch(callers, job, TIMEOUT_MS);
    expect(ended.status).toBe('completed');
    expect(await countItems(callers, job, batch)).toEqual({
      done: 294,
      doubled: 0,
      failed: 6,
      lost: 0,
    });
    // The VM restarts with its disk; resubmitting with the same idempotency key returns the same job.
    fleet.startProcess(fleet.vmProcess(leader));
    await fleet.waitReady([leader]);
    expect(await submitBatch(callers, batch, 'key')).toBe(job);
  });

  test('does not duplicate results of items held by a paused VM', async () => {
    const layout = smallLayout('127.1.3', {standIn: {tokenMs: 12}, vms: 5});
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('frozen', 200, 0, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    await delay(400);
    const paused = [3, 4].map((vm) => fleet.vmProcess(vm).name);
    paused.forEach((name) => fleet.signal(name, 'SIGSTOP'));
    // Longer than the lease of a chunk, so that other VMs take over its items.
    await delay(5000);
    paused.forEach((name) => fleet.signal(name, 'SIGCONT'));
    expect((await waitForBatch(callers, job, TIMEOUT_MS)).status).toBe('completed');
    const counts = await countItems(callers, job, batch);
    expect(counts).toEqual({done: 200, doubled: 0, failed: 0, lost: 0});
  });

  test('runs a non-repeatable item at most once when one VM is killed and another paused', async () => {
    const layout = smallLayout('127.1.4', {standIn: {tokenMs: 12}, vms: 5});
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('once', 150, 0, MODEL);
    const headers = {'x-stallpaddle-repeatable': 'false'};
    const job = await submitBatch(callers, batch, 'key', headers);
    await delay(600);
    fleet.signal(fleet.vmProcess(4).name, 'SIGSTOP');
    await fleet.kill(fleet.vmProcess(3).name);
    await delay(5000);
    fleet.signal(fleet.vmProcess(4).name, 'SIGCONT');
    expect((await waitForBatch(callers, job, TIMEOUT_MS)).status).toBe('completed');
    const counts = await countItems(callers, job, batch);
    expect(counts.lost + counts.doubled).toBe(0);
    expect(counts.done + counts.failed).toBe(150);
    await delay(500);
    const executions = new Map<string, number>();
    for (let engine = 0; engine < layout.engines; engine++) {
      for (const [prompt, runs] of await executionsAt(engineAddress(layout, engine))) {
        executions.set(prompt, (executions.get(prompt) ?? 0) + runs);
      }
    }
    expect([...executions.values()].filter((runs) => runs > 1)).toEqual([]);
    expect(executions.size).toBeGreaterThanOrEqual(counts.done);
  });

  test('stops the running items of a cancelled job and starts no others', async () => {
    const layout = smallLayout('127.1.5', {standIn: {tokenMs: 20}});
    running = await startFleet(layout);
    const callers = callersOf(layout, 1);
    const batch = batchFile('cancelled', 400, 0, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    await delay(700);
    const response = await callers.call('POST', `/v1/batches/${job}/cancel`);
    const acknowledgedAt = performance.now();
    expect(JSON.parse(response!.text)).toMatchObject({status: 'cancelled'});
    const countRuns = async (): Promise<number> => {
      const all = await Promise.all(
        [0, 1].map((engine) => executionsAt(engineAddress(layout, engine))),
      );
      return all.flatMap((runs) => [...runs.values()]).reduce((sum, runs) => sum + runs, 0);
    };
    await waitUntil('no engine runs anything', async () => {
      const loads = await Promise.all(
        [0, 1].map((engine) => callServer({...engineAddress(layout, engine), path: '/load'})),
      );
      return loads.every(({text}) => (JSON.parse(text) as {batch: number}).batch === 0);
    });
    // Engines report their load with a delay: all of them may appear idle between two items.
    await delay(acknowledgedAt + CANCEL_EFFECTIVE_MS - performance.now());
    const runs = await countRuns();
    expect(runs).toBeLessThan(400);
    await delay(1500);
    expect(await countRuns()).toBe(runs);
    const counts = await countItems(callers, job, batch);
    expect(counts.doubled).toBe(0);
    expect(counts.done).toBeLessThan(400);
  });

  test('keeps results when all VMs with a disk are killed, one disk is replaced and another VM is killed', async () => {
    const layout = smallLayout('127.1.6');
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('kept', 64, 16, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    await waitForBatch(callers, job, TIMEOUT_MS);
    const names = [0, 1, 2].map((vm) => fleet.vmProcess(vm).name);
    await Promise.all(names.map((name) => fleet.kill(name)));
    fleet.loseDisk(2);
    [0, 1, 2].forEach((vm) => fleet.startProcess(fleet.vmProcess(vm)));
    await fleet.waitReady();
    const operator = new DemoOperator(vmAddress(layout, 0), layout.operatorKey);
    const joining = (await statusOf(layout, 2)).replicas[0]!.self;
    for (const group of ['control', 'ledger-0', 'ledger-1']) {
      const {voters} = (await statusOf(layout, 0)).replicas.find((one) => one.group === group)!;
      const leaving = voters.find((voter) => voter.startsWith(`${names[2]}/`))!;
      expect(leaving).not.toBe(joining);
      await operator.change({group, joining, kind: 'replaceReplica', leaving});
      await waitUntil(`${group} has replaced its member`, async () => {
        const replica = (await statusOf(layout, 0)).replicas.find((one) => one.group === group)!;
        return replica.voters.includes(joining) && !replica.voters.includes(leaving);
      });
    }
    // With another voter killed, the majority needs the replacement replica.
    await fleet.kill(names[0]!);
    expect(await countItems(callers, job, batch)).toEqual({
      done: 60,
      doubled: 0,
      failed: 4,
      lost: 0,
    });
    expect(await submitBatch(callers, batch, 'key')).toBe(job);
    const second = batchFile('after', 40, 0, MODEL);
    const after = await submitBatch(callers, second, 'key-2');
    expect((await waitForBatch(callers, after, TIMEOUT_MS)).status).toBe('completed');
  });

  test('on SIGTERM finishes open requests, refuses new ones and is removed from the addresses', async () => {
    const layout = smallLayout('127.1.7', {standIn: {tokenMs: 25}, vms: 5});
    running = await startFleet(layout);
    const {fleet} = running;
    const leaving = vmAddress(layout, 4);
    const key = layout.customers[0]!.key;
    const sendChat = (content: string, stream: boolean) =>
      callServer({
        ...leaving,
        body: JSON.stringify({
          max_tokens: 80,
          messages: [{content, role: 'user'}],
          model: MODEL,
          stream,
        }),
        key,
        method: 'POST',
        path: '/v1/chat/completions',
      });
    // A VM refuses requests until it has received a report from an engine.
    await waitUntil('the VM serves', async () => (await sendChat('first', false)).status === 200);
    const open = [0, 1, 2, 3, 4, 5].map((number) => sendChat(`open ${number}`, number % 2 === 0));
    const batch = batchFile('drained', 100, 0, MODEL);
    const callers = callersOf(layout, 1);
    const job = await submitBatch(callers, batch, 'key');
    const {name} = fleet.vmProcess(4);
    const exitCode = fleet.waitEnd(name);
    fleet.signal(name, 'SIGTERM');
    await delay(100);
    const refused = await sendChat('new', false);
    expect(refused.status).toBe(503);
    expect(refused.headers['x-stallpaddle-verdict']).toBe('notRun');
    expect(String(refused.headers['x-stallpaddle-addresses']).split(',')).toHaveLength(4);
    await waitUntil('the VM is removed from the addresses', async () => {
      const {text} = await callServer({...vmAddress(layout, 0), path: '/addresses'});
      return !text.includes(name);
    });
    for (const [number, response] of (await Promise.all(open)).entries()) {
      expect(response.status).toBe(200);
      const words = answerWords(`open ${number}`, 80);
      expect(response.text.includes(words.at(-1)!)).toBe(true);
      expect(response.text.includes('[DONE]')).toBe(number % 2 === 0);
    }
    expect(await exitCode).toBe(0);
    expect((await waitForBatch(callers, job, TIMEOUT_MS)).status).toBe('completed');
    expect((await countItems(callers, job, batch)).lost).toBe(0);
  });

  test('refuses new work on a drained VM and on a VM without contact to a majority', async () => {
    const layout = smallLayout('127.1.8', {vms: 5});
    running = await startFleet(layout);
    const {fleet} = running;
    const operator = new DemoOperator(vmAddress(layout, 0), layout.operatorKey);
    const healthOf = async (vm: number): Promise<string> =>
      (await callServer({...vmAddress(layout, vm), path: '/healthz'})).text;
    await operator.change({kind: 'drainVm', vm: fleet.vmProcess(4).name});
    expect(await healthOf(4)).toContain('leaves');
    await operator.change({kind: 'undrainVm', vm: fleet.vmProcess(4).name});
    expect(await healthOf(4)).toContain('"ready":true');
    // Without a majority no VM can confirm that its configuration is the latest.
    await fleet.kill(fleet.vmProcess(0).name);
    await fleet.kill(fleet.vmProcess(1).name);
    await waitUntil('the other VMs refuse new work', async () =>
      (await healthOf(3)).includes('not known to be the latest'),
    );
    fleet.startProcess(fleet.vmProcess(0));
    await fleet.waitReady([0, 2, 3, 4]);
  });

  test('runs a non-repeatable call to a plain service once when it is resent to another VM', async () => {
    const layout = smallLayout('127.1.9');
    running = await startFleet(layout);
    const {fleet} = running;
    const key = layout.customers[0]!.key;
    const call = (vm: number, body: string, idempotencyKey: string) =>
      callServer({
        ...vmAddress(layout, vm),
        body,
        headers: {'idempotency-key': idempotencyKey},
        key,
        method: 'POST',
        path: '/services/deadlines/pay',
      });
    const first = await call(3, 'one', 'k1');
    expect(first.status).toBe(200);
    await fleet.kill(fleet.vmProcess(3).name);
    const resent = await call(0, 'one', 'k1');
    expect(resent.text).toBe(first.text);
    const reused = await call(1, 'other', 'k1');
    expect(reused.status).toBe(422);
    expect(reused.headers['x-stallpaddle-verdict']).toBe('notRun');
    const runs = await executionsAt(serviceAddress(layout, 0));
    expect(runs.get('one')).toBe(1);
    expect(runs.has('other')).toBe(false);
  });

  test('never returns the response of another request when connections to an engine are closed', async () => {
    const layout = smallLayout('127.1.10', {standIn: {tokenMs: 5}});
    // The engine addresses in the settings are those of the proxies; the engines listen on another network.
    const engineLayout = {...layout, network: '127.1.11'};
    const proxies = await Promise.all(
      [0, 1].map(async (engine) => {
        const proxy = new TestProxy(engineAddress(engineLayout, engine));
        await proxy.start(engineAddress(layout, engine));
        return proxy;
      }),
    );
    try {
      running = await startFleet(layout, engineLayout);
      const callers = callersOf(layout, 0);
      const pending: Promise<void>[] = [];
      for (let number = 0; number < 120; number++) {
        const prompt = {maxTokens: 12, messages: [{content: `cut ${number}`, role: 'user'}]};
        pending.push(callers.ask(prompt, number % 2 === 0));
        if (number % 30 === 15) {
          proxies[0]!.disconnect();
        }
        if (number % 30 === 29) {
          proxies[0]!.reconnect();
        }
        await delay(15);
      }
      await Promise.all(pending);
      expect(callers.counts).toEqual({answered: 120, crossed: 0, lost: 0, sent: 120});
    } finally {
      await Promise.all(proxies.map((proxy) => proxy.stop()));
    }
  });
});
