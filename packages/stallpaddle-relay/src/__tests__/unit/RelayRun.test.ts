/**
 * What callers get when engines serve, decline, fail, break off or mix answers up.
 */
import type {LogFields} from 'stallpaddle';

import {seededRandom} from 'stallpaddle';
import {PLAIN, StreamEngine} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import type {RelayContext} from '../../RelayTypes';

import {
  ask,
  contextOf,
  registerUndo,
  routeOf,
  startEngines,
  startRelay,
  stopAll,
} from '../RelayFixture';

afterEach(stopAll);

describe('RelayRun', () => {
  test('passes request and answer on unchanged', async () => {
    const [engine] = await startEngines(1);
    const {ends, port} = await startRelay(contextOf([engine!]), routeOf());
    const answer = await ask(port);
    expect(answer).toMatchObject({body: engine!.wholeText, isWhole: true, status: 200});
    expect(answer.headers[PLAIN.signature]).toBe('signed-q1');
    const [seen] = engine!.seen;
    expect(seen).toMatchObject({body: 'the body', url: '/a/b?c=d'});
    expect(seen!.headers).toMatchObject({
      host: 'a.example',
      [PLAIN.engine]: 'e0',
      'x-other': 'kept',
    });
    expect(Number(seen!.headers[PLAIN.timeLeft])).toBeLessThanOrEqual(1500);
    expect(ends).toEqual(['served']);
  });

  test('a caller’s own word on who it is goes nowhere; the fleet’s does, on each attempt', async () => {
    const engines = await startEngines(2);
    engines.forEach((engine) => (engine.manners = [{after: 2, kind: 'breakOff'}]));
    const caller = {kind: 'customer', name: 'acme'} as const;
    const {port} = await startRelay(contextOf(engines), routeOf({maxAttempts: 3}), 0, caller);
    const own = {
      Authorization: 'Bearer secret',
      Connection: 'X-Customer, close',
      'X-CUSTOMER': 'self-made',
    };
    await ask(port, undefined, own);
    const seen = engines.flatMap((engine) => engine.seen);
    expect(seen.length).toBeGreaterThan(1);
    for (const {headers} of seen) {
      expect(headers).toMatchObject({[PLAIN.customer]: 'acme', 'x-other': 'kept'});
      expect(JSON.stringify(headers)).not.toMatch(/secret|self-made/);
    }
  });

  test('nobody in particular has no name; where there are no customers all lines go on', async () => {
    const [engine] = await startEngines(1);
    const own = {authorization: 'Bearer secret', [PLAIN.customer]: 'self'};
    const anybody = await startRelay(contextOf([engine!]), routeOf(), 0, {kind: 'anybody'});
    await ask(anybody.port, undefined, own);
    const untold = await startRelay(contextOf([engine!]), routeOf());
    await ask(untold.port, undefined, own);
    const names = engine!.seen.map(({headers}) => [headers.authorization, headers[PLAIN.customer]]);
    expect(names).toEqual([
      [undefined, undefined],
      ['Bearer secret', 'self'],
    ]);
  });

  test('joins a resumable stream that broke off, with nothing lost or doubled', async () => {
    const engines = await startEngines(2);
    engines.forEach((engine) => (engine.manners = [{after: 2, kind: 'breakOff'}]));
    const {port} = await startRelay(contextOf(engines), routeOf({maxAttempts: 3}));
    engines[1]!.manners = [];
    engines[0]!.manners = [{after: 2, kind: 'breakOff'}];
    const answers = await Promise.all([ask(port), ask(port)]);
    for (const answer of answers) {
      expect(answer).toMatchObject({body: engines[0]!.wholeText, isWhole: true});
    }
    const resumed = engines
      .flatMap(({seen}) => seen)
      .filter(({headers}) => headers[PLAIN.resumeAfter]);
    expect(resumed.map(({headers}) => headers[PLAIN.resumeAfter])).toEqual(['2']);
  });

  test.each(['breakOff', 'endWithin'] as const)(
    'lets a stream that may not be resumed look broken after %s',
    async (kind) => {
      const engines = await startEngines(2);
      engines.forEach((engine) => (engine.manners = [{after: 2, kind}]));
      const {ends, port} = await startRelay(contextOf(engines), routeOf({resumable: false}));
      const answer = await ask(port);
      expect(answer.isWhole).toBe(false);
      expect(engines[0]!.seen.length + engines[1]!.seen.length).toBe(1);
      expect(ends).toEqual(['broken']);
    },
  );

  test.each(['text/event-stream', 'text/plain'])(
    'does not take a %s answer without a length for whole when its connection was reset',
    async (type) => {
      const [engine] = await startEngines(1);
      engine!.manners = [{after: 3, kind: 'resetUnframed'}];
      const {ends, port} = await startRelay(contextOf([engine!]), routeOf({resumable: false}));
      const answer = await ask(port, undefined, {[PLAIN.wanted]: type});
      expect(answer.isWhole && answer.status === 200).toBe(false);
      expect(ends[0]).not.toBe('served');
    },
  );

  test('never joins an event that does not follow the last one', async () => {
    const engines = await startEngines(1);
    engines[0]!.manners = [{kind: 'skipEvent'}];
    const {port} = await startRelay(contextOf(engines), routeOf({resumable: false}));
    const answer = await ask(port);
    expect(answer.isWhole).toBe(false);
    expect(engines[0]!.wholeText.startsWith(answer.body)).toBe(true);
  });

  test('refuses with a time to come back only what certainly did not run', async () => {
    const [engine] = await startEngines(1);
    engine!.manners = [{kind: 'decline'}];
    const {port} = await startRelay(contextOf([engine!]), routeOf());
    const declined = await ask(port);
    expect(declined.status).toBe(503);
    expect(Number(declined.headers['retry-after'])).toBeGreaterThan(0);
  });

  test.each(['wrongRequest', 'mute', 'reset'] as const)(
    'answers a request that may have run with no promise after %s',
    async (kind) => {
      const engines = await startEngines(2);
      engines.forEach((engine) => (engine.manners = [{kind}]));
      const route = routeOf({resumable: false, timeoutMs: 300});
      const {port} = await startRelay(contextOf(engines), route);
      const answer = await ask(port);
      expect([502, 504]).toContain(answer.status);
      expect(answer.body).not.toContain('not yours');
      expect(answer.headers['retry-after']).toBeUndefined();
      expect(engines[0]!.seen.length + engines[1]!.seen.length).toBe(1);
    },
  );

  test('does not promise with an engine’s own status that nothing ran', async () => {
    const [engine] = await startEngines(1);
    engine!.manners = [{kind: 'fail', status: 503}];
    const {port} = await startRelay(contextOf([engine!]), routeOf({resumable: false}));
    expect((await ask(port)).status).toBe(502);
  });

  test('passes an engine’s own failure on unchanged', async () => {
    const [engine] = await startEngines(1);
    engine!.manners = [{kind: 'fail', status: 500}];
    const {ends, port} = await startRelay(contextOf([engine!]), routeOf({resumable: false}));
    const answer = await ask(port);
    expect(answer).toMatchObject({body: 'it failed', isWhole: true, status: 500});
    expect(answer.headers[PLAIN.signature]).toBe('signed-q1');
    expect(ends).toEqual(['serverFailure']);
  });

  test('goes on at another engine when the address belongs to another one', async () => {
    const engines = await startEngines(2);
    engines.forEach((engine) => (engine.manners = [{kind: 'otherEngine'}, {kind: 'serve'}]));
    engines[1]!.manners = [];
    engines[0]!.manners = [{kind: 'otherEngine'}];
    const {port} = await startRelay(
      contextOf(engines),
      routeOf({maxAttempts: 1, resumable: false}),
    );
    const [first, second] = await Promise.all([ask(port), ask(port)]);
    expect([first!.status, second!.status]).toEqual([200, 200]);
  });

  test('ends the run at the engine when the caller leaves', async () => {
    const engine = await StreamEngine.start(200, 5);
    registerUndo(() => engine.stop());
    const {ends, port} = await startRelay(contextOf([engine]), routeOf());
    await ask(port, 100);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(engine.seen.map(({left}) => left)).toEqual([true]);
    expect(ends).toEqual(['left']);
  });

  test('the log names the end that the caller saw, and the last engine that was offered it', async () => {
    const manners = ['serve', 'decline', 'fail', 'mute', 'wrongRequest', 'breakOff', 'otherEngine'];
    const random = seededRandom(20_261);
    const draw = () => manners[Math.floor(random() * manners.length)];
    const engines = await startEngines(3);
    for (let turn = 0; turn < 40; turn++) {
      engines.forEach((engine) => {
        engine.seen.length = 0;
        engine.manners = [0, 1, 2].map(() => ({after: 2, kind: draw(), status: 500}) as never);
      });
      const lines: {decision: string; fields: LogFields}[] = [];
      const context = {
        ...contextOf(engines),
        decide: (decision: string, _: string, fields: LogFields) => lines.push({decision, fields}),
      };
      const route = routeOf({resumable: random() < 0.5, timeoutMs: 250});
      const {port} = await startRelay(context as never, route);
      const answer = await ask(port);
      while (!lines.some(({decision}) => decision === 'ended')) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      const ended = lines.filter(({decision}) => decision === 'ended');
      expect(ended).toHaveLength(1);
      const {end, engines: sentTo, verdict} = ended[0]!.fields;
      expect(end === 'served').toBe(answer.status === 200 && answer.isWhole);
      expect(end === 'serverFailure').toBe(answer.status === 500);
      expect(end === 'broken' || (end === 'timedOut' && answer.status === 200)).toBe(
        !answer.isWhole,
      );
      expect(verdict === 'notRun').toBe(answer.status === 503);
      const offered = lines.filter(({decision}) => decision === 'placed' || decision === 'resumed');
      const last = offered.at(-1)?.fields.engine;
      expect(String(sentTo).split(',').at(-1)).toBe(last ?? '');
      const saw = engines.flatMap(({seen}, at) => seen.map(() => `e${at}`));
      expect([...new Set(offered.map(({fields}) => fields.engine))].sort()).toEqual(
        [...new Set(saw)].sort(),
      );
    }
  });

  /** Engines that have ended, and are known as ready still, before one that serves and has more to do. */
  async function contextAfterEnds(ended: number): Promise<RelayContext> {
    const engines = await startEngines(ended + 1);
    const context = contextOf(engines);
    await Promise.all(engines.slice(0, ended).map((engine) => engine.stop()));
    context.online.registerRequest(`e${ended}`);
    context.online.registerRequest(`e${ended}`);
    return context;
  }

  test.each([1, 4, 7])(
    'is served when %i engines have just ended and nobody has told',
    async (ended) => {
      const {port} = await startRelay(await contextAfterEnds(ended), routeOf({maxAttempts: 1}));
      expect(await ask(port)).toMatchObject({isWhole: true, status: 200});
    },
  );

  test('waits while it can be in time when no engine can be reached for a moment', async () => {
    const [ended, next] = await startEngines(2);
    await ended!.stop();
    const context = contextOf([ended!]);
    const views = contextOf([ended!, next!]).engines();
    const backAt = performance.now() + 100;
    const engines = () => (performance.now() < backAt ? views.slice(0, 1) : views);
    const {port} = await startRelay({...context, engines}, routeOf());
    expect(await ask(port)).toMatchObject({isWhole: true, status: 200});
  });

  test('is refused soon when no engine can be reached and none comes back', async () => {
    const [ended] = await startEngines(1);
    await ended!.stop();
    const {port} = await startRelay(contextOf([ended!]), routeOf());
    const startedAt = performance.now();
    const answer = await ask(port);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(performance.now() - startedAt).toBeLessThan(1_000);
  });

  test.each([
    [0, true],
    [1_000, false],
  ])(
    'while the other VMs’ requests are unknown: spent %i ms before, begins at once: %s',
    async (spentMs, atOnce) => {
      // Callers of VMs that were lost come again, all at the moment at which the first VMs are back.
      const [engine] = await startEngines(1);
      const context = contextOf([engine!], false);
      const {port} = await startRelay(context, routeOf(), spentMs);
      const startedAt = performance.now();
      expect(await ask(port)).toMatchObject({isWhole: true, status: 200});
      expect(performance.now() - startedAt < 250).toBe(atOnce);
    },
  );

  test('while the other VMs’ requests are unknown, no request leaves a queue for another one', async () => {
    // All engines are full alike; whoever moves begins anew at the end of the next queue.
    const engines = await startEngines(2);
    const context = contextOf(engines, false);
    Array.from({length: 20}, () => context.latencies.firstEvent.note(20));
    context.online.registerRequest('e1');
    engines[0]!.manners = [{kind: 'mute'}];
    const {port} = await startRelay(context, routeOf());
    const startedAt = performance.now();
    expect((await ask(port)).status).toBe(200);
    expect(performance.now() - startedAt).toBeGreaterThan(1_000);
  });

  test('a request that can’t be in time goes on as soon as the others’ requests are known', async () => {
    const [engine] = await startEngines(1);
    const context = contextOf([engine!], false);
    const {port} = await startRelay(context, routeOf(), 1_000);
    const startedAt = performance.now();
    setTimeout(() => context.online.applyReport({}, true, []), 100);
    expect((await ask(port)).status).toBe(200);
    expect(performance.now() - startedAt).toBeLessThan(400);
  });

  test('refuses after a wait what no engine may even queue', async () => {
    const [engine] = await startEngines(1);
    const context = contextOf([engine!]);
    for (let count = 0; count < 8; count++) {
      context.online.registerRequest('e0');
    }
    const {port} = await startRelay(context, routeOf());
    const answer = await ask(port);
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(engine!.seen).toHaveLength(0);
  });

  /** A context whose engines have been seen to begin within 20 ms and to pause for 5 ms. */
  function learnedContext(engines: readonly StreamEngine[]): RelayContext {
    const context = contextOf(engines);
    Array.from({length: 20}, () => {
      context.latencies.firstEvent.note(20);
      context.latencies.gap.note(5);
    });
    return context;
  }

  test.each([[{kind: 'mute'}], [{after: 2, kind: 'pause'}]] as const)(
    'goes on elsewhere soon after a silence that is longer than usual: %o',
    async (manner) => {
      const engines = await startEngines(2);
      const context = learnedContext(engines);
      // The second engine has less room, so the first one is asked first.
      context.online.registerRequest('e1');
      engines[0]!.manners = [manner];
      const {port} = await startRelay(context, routeOf());
      const startedAt = performance.now();
      expect(await ask(port)).toMatchObject({body: engines[0]!.wholeText, isWhole: true});
      expect(performance.now() - startedAt).toBeLessThan(500);
      expect(engines[1]!.seen).toHaveLength(1);
      expect(engines[0]!.seen[0]!.left).toBe(true);
    },
  );

  test('stays with a silent engine while no other one has room', async () => {
    const engines = await startEngines(2);
    const context = learnedContext(engines);
    const ends = Array.from({length: 4}, () => context.online.registerRequest('e1'));
    engines[0]!.manners = [{kind: 'mute'}];
    const {port} = await startRelay(context, routeOf());
    const answer = ask(port);
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(engines[1]!.seen).toHaveLength(0);
    ends[0]!();
    expect((await answer).isWhole).toBe(true);
  });

  test('goes back to an engine that was only slow when the last other one fails', async () => {
    const engines = await startEngines(2);
    const context = contextOf(engines);
    const {ends, port} = await startRelay(context, routeOf());
    // Whichever is asked first pauses for longer than usual; the other one takes the request and resets.
    engines.forEach((engine) => {
      engine.manners = [{after: 2, kind: 'pause'}];
    });
    const answered = ask(port);
    while (engines.every(({seen}) => seen.length === 0)) {
      await new Promise((resolve) => setTimeout(resolve, 2));
    }
    const [other] = engines.filter(({seen}) => seen.length === 0);
    other!.manners = [{kind: 'reset'}];
    const {body, isWhole, status} = await answered;
    expect({body, isWhole, status}).toEqual({
      body: engines[0]!.wholeText,
      isWhole: true,
      status: 200,
    });
    expect(ends).toEqual(['served']);
    // No more engines than the route allows.
    expect(engines.map(({seen}) => seen.length).sort()).toEqual([1, 2]);
  });

  test('sends a request that every engine resets a few times and no more', async () => {
    const engines = await startEngines(3);
    engines.forEach((engine) => {
      engine.manners = Array.from({length: 20}, () => ({kind: 'reset'}) as const);
    });
    const {ends, port} = await startRelay(contextOf(engines), routeOf());
    expect((await ask(port)).status).toBe(502);
    expect(ends).toEqual(['refused']);
    const sends = engines.map(({seen}) => seen.length);
    expect(sends.filter((count) => count > 0)).toHaveLength(2);
    expect(sends.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(4);
  });

  test('never sends elsewhere for silence what may not be repeated', async () => {
    const engines = await startEngines(2);
    const context = learnedContext(engines);
    context.online.registerRequest('e1');
    engines[0]!.manners = [{kind: 'mute'}];
    const {port} = await startRelay(context, routeOf({resumable: false, timeoutMs: 400}));
    expect((await ask(port)).status).toBe(504);
    expect(engines[1]!.seen).toHaveLength(0);
  });

  test('learns how fast engines are', async () => {
    const [engine] = await startEngines(1);
    const context = contextOf([engine!]);
    const {port} = await startRelay(context, routeOf());
    await ask(port);
    const {connect, firstEvent, gap} = context.latencies;
    expect(connect.limitMs).toBeLessThan(250);
    expect(firstEvent.limitMs).toBeLessThan(1_200);
    expect(gap.limitMs).toBeLessThan(700);
  });

  test('never lengthens a queue for a request that is late already', async () => {
    const [engine] = await startEngines(1);
    const context = contextOf([engine!]);
    // Four slots and a queue of one, which is as much as a request that can be in time may find.
    Array.from({length: 5}, () => context.online.registerRequest('e0'));
    const late = await startRelay(context, routeOf(), 2_000);
    expect((await ask(late.port)).status).toBe(503);
    expect(engine!.seen).toHaveLength(0);
  });

  test('lets a request that can be in time go before one that can’t', async () => {
    const [engine] = await startEngines(1);
    const context = contextOf([engine!]);
    const ends = Array.from({length: 4}, () => context.online.registerRequest('e0'));
    const {port} = await startRelay(context, routeOf());
    const late = await startRelay(context, routeOf(), 2_000);
    const waiting = ask(late.port);
    await new Promise((resolve) => setTimeout(resolve, 60));
    expect((await ask(port)).status).toBe(200);
    expect(engine!.seen).toHaveLength(1);
    ends[0]!();
    expect((await waiting).status).toBe(200);
  });
});
