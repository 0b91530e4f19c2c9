/**
 * Guards against a response that is taken for one of an engine's known start, though the engine had started again before.
 */
import {delay} from 'stallpaddle';
import {plainRelay, type StreamEngine} from 'stallpaddle-testing';
import {afterEach, describe, expect, test} from 'vitest';

import {hasExited} from '../../RelayProbe';
import {RelayStarts} from '../../RelayStarts';
import {contextOf, startEngines, stopAll} from '../RelayFixture';

afterEach(stopAll);

/** An engine of which the fleet status names start 1. */
async function startEngine(startedAtMs: null | number) {
  const [engine] = (await startEngines(1)) as readonly [StreamEngine];
  engine.startedAtMs = startedAtMs;
  const [view] = contextOf([engine]).engines();
  return {engine, view: {...view!, startedAtMs: 1}};
}

describe('RelayStarts', () => {
  test.each([
    ['confirmed', 1],
    ['other', 2],
    ['unknown', null],
  ])('an engine is %s if it tells start %s', async (check, startedAtMs) => {
    const {view} = await startEngine(startedAtMs);
    expect(await new RelayStarts(plainRelay).confirm(view)).toMatchObject({kind: check});
  });

  test('an engine that has ended is unknown, one that is named anew with each start is confirmed', async () => {
    const {engine, view} = await startEngine(1);
    await engine.stop();
    const starts = new RelayStarts(plainRelay);
    expect(await starts.confirm(view)).toEqual({kind: 'unknown'});
    expect(await starts.confirm({...view, startedAtMs: 0})).toEqual({kind: 'confirmed'});
  });

  // Guards against an answer of the start before, to a question that was on its way when the engine started again.
  test('a question that is on its way confirms no later response', async () => {
    const {engine, view} = await startEngine(1);
    engine.occupancyDelayMs = 100;
    const starts = new RelayStarts(plainRelay);
    const before = starts.confirm(view);
    await delay(50);
    engine.startedAtMs = 2;
    const after = [starts.confirm(view), starts.confirm(view)];
    const checks = await Promise.all([before, ...after]);
    expect(checks.map(({kind}) => kind)).toEqual(['confirmed', 'other', 'other']);
    expect(engine.occupancyQueries).toBe(2);
  });

  // Guards against a crash that is overlooked because the engine is back under its name when it is looked at.
  test('an engine that has started again under its name has exited', async () => {
    const {view} = await startEngine(2);
    expect(await hasExited(plainRelay, view)).toBe(true);
    expect(await hasExited(plainRelay, {...view, startedAtMs: 2})).toBe(false);
  });
});
