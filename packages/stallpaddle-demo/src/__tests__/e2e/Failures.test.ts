import {delay} from 'stallpaddle';
import {callServer} from 'stallpaddle-load';
import {answerWords} from 'stallpaddle-standin';
import {afterEach, describe, expect, test} from 'vitest';
import {z} from 'zod';

/**
 * Real processes under kills, freezes, lost disks and cuts: every item is checked at the caller and
 * at the engines.
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
const MOST_MS = 30_000;
/**
 * Time after the acknowledgement of a cancel from which on nothing of the job begins, in milliseconds. A VM hears that its leases
 * are revoked with its next report, 50 ms after an item's end or each second: until then it begins what it holds.
 */
const CANCELLED_MS = 2_000;

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

async function until(what: string, look: () => Promise<boolean>): Promise<void> {
  const end = Date.now() + MOST_MS;
  while (!(await look().catch(() => false))) {
    if (Date.now() > end) {
      throw new Error(`waited in vain until ${what}`);
    }
    await delay(50);
  }
}

/** Number of the VM that leads a group, as a VM with a disk sees it. */
async function leaderOf(layout: FleetLayout, asked: number, group: string): Promise<number> {
  let leader = -1;
  await until(`${group} has a leader`, async () => {
    const replica = (await statusOf(layout, asked)).replicas.find((one) => one.group === group);
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

  test('loses and doubles no item when the leaders and an engine are killed', async () => {
    const layout = smallLayout('127.1.2');
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('item', 300, 50, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    const leader = await leaderOf(layout, 0, 'ledger-0');
    await fleet.kill(fleet.vmProcess(leader).name);
    await fleet.kill(engineName(layout, 0));
    const ended = await waitForBatch(callers, job, MOST_MS);
    expect(ended.status).toBe('completed');
    expect(await countItems(callers, job, batch)).toEqual({
      done: 294,
      doubled: 0,
      failed: 6,
      lost: 0,
    });
    // The killed VM comes back with its disk, and a resent job finds the first one.
    fleet.startProcess(fleet.vmProcess(leader));
    await fleet.waitReady([leader]);
    expect(await submitBatch(callers, batch, 'key')).toBe(job);
  });

  test('gives a frozen VM no way to double an item or to answer late', async () => {
    const layout = smallLayout('127.1.3', {standIn: {tokenMs: 12}, vms: 5});
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('frozen', 200, 0, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    await delay(400);
    const frozen = [3, 4].map((vm) => fleet.vmProcess(vm).name);
    frozen.forEach((name) => fleet.signal(name, 'SIGSTOP'));
    // Longer than a chunk's lease: its items go to other VMs meanwhile.
    await delay(5000);
    frozen.forEach((name) => fleet.signal(name, 'SIGCONT'));
    expect((await waitForBatch(callers, job, MOST_MS)).status).toBe('completed');
    const counts = await countItems(callers, job, batch);
    expect(counts).toEqual({done: 200, doubled: 0, failed: 0, lost: 0});
  });

  test('runs an item that must not repeat at most once, through a kill and a freeze', async () => {
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
    expect((await waitForBatch(callers, job, MOST_MS)).status).toBe('completed');
    const counts = await countItems(callers, job, batch);
    expect(counts.lost + counts.doubled).toBe(0);
    expect(counts.done + counts.failed).toBe(150);
    await delay(500);
    const seen = new Map<string, number>();
    for (let engine = 0; engine < layout.engines; engine++) {
      for (const [prompt, runs] of await executionsAt(engineAddress(layout, engine))) {
        seen.set(prompt, (seen.get(prompt) ?? 0) + runs);
      }
    }
    expect([...seen.values()].filter((runs) => runs > 1)).toEqual([]);
    expect(seen.size).toBeGreaterThanOrEqual(counts.done);
  });

  test('stops a cancelled job at the engines and starts nothing of it again', async () => {
    const layout = smallLayout('127.1.5', {standIn: {tokenMs: 20}});
    running = await startFleet(layout);
    const callers = callersOf(layout, 1);
    const batch = batchFile('cancelled', 400, 0, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    await delay(700);
    const answer = await callers.call('POST', `/v1/batches/${job}/cancel`);
    const cancelledAt = performance.now();
    expect(JSON.parse(answer!.text)).toMatchObject({status: 'cancelled'});
    const runsNow = async (): Promise<number> => {
      const all = await Promise.all(
        [0, 1].map((engine) => executionsAt(engineAddress(layout, engine))),
      );
      return all.flatMap((runs) => [...runs.values()]).reduce((sum, runs) => sum + runs, 0);
    };
    await until('no engine runs anything', async () => {
      const loads = await Promise.all(
        [0, 1].map((engine) => callServer({...engineAddress(layout, engine), path: '/load'})),
      );
      return loads.every(({text}) => (JSON.parse(text) as {batch: number}).batch === 0);
    });
    // The engines report with a lag: between two items all of them may look idle.
    await delay(cancelledAt + CANCELLED_MS - performance.now());
    const runs = await runsNow();
    expect(runs).toBeLessThan(400);
    await delay(1500);
    expect(await runsNow()).toBe(runs);
    const counts = await countItems(callers, job, batch);
    expect(counts.doubled).toBe(0);
    expect(counts.done).toBeLessThan(400);
  });

  test('keeps results after all processes were killed, a disk was lost and replaced, and another VM went', async () => {
    const layout = smallLayout('127.1.6');
    running = await startFleet(layout);
    const {fleet} = running;
    const callers = callersOf(layout, 1);
    const batch = batchFile('kept', 64, 16, MODEL);
    const job = await submitBatch(callers, batch, 'key');
    await waitForBatch(callers, job, MOST_MS);
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
      await until(`${group} has its new member alone`, async () => {
        const replica = (await statusOf(layout, 0)).replicas.find((one) => one.group === group)!;
        return replica.voters.includes(joining) && !replica.voters.includes(leaving);
      });
    }
    // The second loss right after the repair: the new disk is now part of the majority.
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
    expect((await waitForBatch(callers, after, MOST_MS)).status).toBe('completed');
  });

  test('lets open streams end, takes nothing new and leaves the addresses on SIGTERM', async () => {
    const layout = smallLayout('127.1.7', {standIn: {tokenMs: 25}, vms: 5});
    running = await startFleet(layout);
    const {fleet} = running;
    const leaving = vmAddress(layout, 4);
    const key = layout.customers[0]!.key;
    const ask = (content: string, stream: boolean) =>
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
    // A VM that has yet to hear from an engine refuses truly; what follows is about one that serves.
    await until('the VM serves', async () => (await ask('first', false)).status === 200);
    const open = [0, 1, 2, 3, 4, 5].map((number) => ask(`open ${number}`, number % 2 === 0));
    const batch = batchFile('drained', 100, 0, MODEL);
    const callers = callersOf(layout, 1);
    const job = await submitBatch(callers, batch, 'key');
    const {name} = fleet.vmProcess(4);
    const ended = fleet.waitEnd(name);
    fleet.signal(name, 'SIGTERM');
    await delay(100);
    const refused = await ask('new', false);
    expect(refused.status).toBe(503);
    expect(refused.headers['x-stallpaddle-verdict']).toBe('notRun');
    expect(String(refused.headers['x-stallpaddle-addresses']).split(',')).toHaveLength(4);
    await until('the VM has left the addresses', async () => {
      const {text} = await callServer({...vmAddress(layout, 0), path: '/addresses'});
      return !text.includes(name);
    });
    for (const [number, answer] of (await Promise.all(open)).entries()) {
      expect(answer.status).toBe(200);
      const words = answerWords(`open ${number}`, 80);
      expect(answer.text.includes(words.at(-1)!)).toBe(true);
      expect(answer.text.includes('[DONE]')).toBe(number % 2 === 0);
    }
    expect(await ended).toBe(0);
    expect((await waitForBatch(callers, job, MOST_MS)).status).toBe('completed');
    expect((await countItems(callers, job, batch)).lost).toBe(0);
  });

  test('stops new work on a drained VM, and on one that lost touch', async () => {
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
    // Without a majority nobody can say that a configuration is the latest.
    await fleet.kill(fleet.vmProcess(0).name);
    await fleet.kill(fleet.vmProcess(1).name);
    await until('the others take no new work', async () =>
      (await healthOf(3)).includes('not known to be the latest'),
    );
    fleet.startProcess(fleet.vmProcess(0));
    await fleet.waitReady([0, 2, 3, 4]);
  });

  test('runs a plain call that must not repeat once, at whichever VM it is resent', async () => {
    const layout = smallLayout('127.1.9');
    running = await startFleet(layout);
    const {fleet} = running;
    const key = layout.customers[0]!.key;
    const call = (vm: number, body: string, keyOfCall: string) =>
      callServer({
        ...vmAddress(layout, vm),
        body,
        headers: {'idempotency-key': keyOfCall},
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

  test('hands no caller an answer of another one when connections to an engine are cut', async () => {
    const layout = smallLayout('127.1.10', {standIn: {tokenMs: 5}});
    // The engines' addresses in the settings are proxies; the engines themselves listen elsewhere.
    const behind = {...layout, network: '127.1.11'};
    const proxies = await Promise.all(
      [0, 1].map(async (engine) => {
        const proxy = new TestProxy(engineAddress(behind, engine));
        await proxy.start(engineAddress(layout, engine));
        return proxy;
      }),
    );
    try {
      running = await startFleet(layout, behind);
      const callers = callersOf(layout, 0);
      const asked: Promise<void>[] = [];
      for (let number = 0; number < 120; number++) {
        const prompt = {maxTokens: 12, messages: [{content: `cut ${number}`, role: 'user'}]};
        asked.push(callers.ask(prompt, number % 2 === 0));
        if (number % 30 === 15) {
          proxies[0]!.cutOff();
        }
        if (number % 30 === 29) {
          proxies[0]!.heal();
        }
        await delay(15);
      }
      await Promise.all(asked);
      expect(callers.counts).toEqual({answered: 120, crossed: 0, lost: 0, sent: 120});
    } finally {
      await Promise.all(proxies.map((proxy) => proxy.stop()));
    }
  });
});
