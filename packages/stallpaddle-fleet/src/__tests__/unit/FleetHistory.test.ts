/**
 * Status deltas: applying them, in whatever order replicas answer, gives the same status as sending it whole.
 */
import fc from 'fast-check';
import {assertHistories} from 'stallpaddle-testing';
import {describe, expect, test} from 'vitest';

import type {SuspectPartView} from '../../FleetSuspectParts';
import type {SuspectView} from '../../FleetSuspects';
import type {EngineView, EntryView, FleetStatus, FleetView, StoreView} from '../../FleetView';

import {applyStatusDelta, diffStatus, isEmptyDelta} from '../../FleetDelta';
import {FleetHistory} from '../../FleetHistory';
import {applyWatchAnswer, EMPTY_VIEW} from '../../FleetView';

const NAMES = ['a', 'b', 'c', 'd'] as const;

function listOf<Item extends object>(itemOf: (name: string, bit: boolean) => Item) {
  return fc
    .tuple(...NAMES.map(() => fc.constantFrom(null, false, true)))
    .map((bits) => bits.flatMap((bit, at) => (bit === null ? [] : [itemOf(NAMES[at]!, bit)])));
}

const STATUS: fc.Arbitrary<FleetStatus> = fc.record({
  controls: fc.subarray(['c1', 'c2']),
  engines: listOf((id, silent): EngineView => ({
    address: `${id}:1`,
    draining: false,
    id,
    sequence: 0,
    service: 's',
    silent,
    slots: 8,
    softwareVersion: 'v1',
    startedAtMs: 0,
    zone: 'z',
  })),
  entries: listOf((name, bit): EntryView => ({address: `${name}:2`, name, zone: bit ? 'y' : 'z'})),
  entriesComplete: fc.constant(true),
  formerSoftware: fc.subarray(['["s","v0"]', '["s","v2"]']),
  jobsFounders: fc.constantFrom(null, ['s1']),
  jobsReplicas: fc.subarray(['s1', 's2']),
  stores: listOf((name, heard): StoreView => ({
    heard,
    name,
    replica: `${name}/1`,
    retiring: false,
  })),
  suspectParts: listOf((part, held): SuspectPartView => ({
    group: held ? part : null,
    level: held ? 2 : 1,
    part,
    trialDelayMs: 10_000,
    trials: 0,
  })),
  suspects: listOf((digest, held): SuspectView => ({
    digest,
    holdMs: held ? 1 : 0,
    level: held ? 2 : 1,
  })),
});

describe('fleet status', () => {
  test('a delta turns the earlier status into the later one, and is empty only for equal statuses', async () => {
    const property = fc.property(STATUS, STATUS, (before, after) => {
      const delta = diffStatus(before, after);
      expect(applyStatusDelta(before, delta)).toEqual(after);
      expect(isEmptyDelta(delta)).toBe(JSON.stringify(before) === JSON.stringify(after));
    });
    await assertHistories('status deltas', property, 300);
  });

  test('a process that asks replicas with different lag holds the newest status received', async () => {
    const step = fc.record({
      asks: fc.nat(2),
      followers: fc.subarray([1, 2]),
      news: STATUS,
      newTerm: fc.nat(9).map((draw) => draw === 0),
    });
    const property = fc.property(fc.array(step, {maxLength: 40}), (steps) => {
      const histories = [new FleetHistory(), new FleetHistory(), new FleetHistory()];
      const states: FleetStatus[] = [];
      const numbers = new Map<string, FleetStatus>();
      let term = 1;
      let fleet = 0;
      let view: FleetView = EMPTY_VIEW;
      for (const {asks, followers, news, newTerm} of steps) {
        term += newTerm ? 1 : 0;
        fleet += 1;
        states.push(news);
        numbers.set(`${term} ${fleet}`, news);
        histories[0]!.put({fleet, news, term});
        // Followers may skip statuses, like a replica that polls less often than they change.
        followers.forEach((at) => histories[at]!.put({fleet, news, term}));
        const {latest} = histories[asks]!;
        if (latest === undefined) {
          continue;
        }
        const before = view;
        const known = {config: null, fleet: view.fleet, term: view.term};
        const answer = {
          ageMs: 0,
          config: null,
          fleet: latest.fleet,
          heldMs: 0,
          proven: true,
          term: latest.term,
          update: histories[asks]!.updateFor(known),
        };
        view = applyWatchAnswer(view, answer, 0);
        const isNewer = latest.term > before.term || latest.fleet > before.fleet;
        expect([view.term, view.fleet]).toEqual(
          isNewer ? [latest.term, latest.fleet] : [before.term, before.fleet],
        );
        expect(view.news).toEqual(numbers.get(`${view.term} ${view.fleet}`));
      }
    });
    await assertHistories('processes and lagging replicas', property, 200);
  });

  test('a change of one engine sends a small delta, not the status of a fleet of 200 VMs', () => {
    const items = <Item>(count: number, itemOf: (name: string) => Item): readonly Item[] =>
      Array.from({length: count}, (_, at) => itemOf(`name-${String(at).padStart(3, '0')}`));
    const news: FleetStatus = {
      ...EMPTY_VIEW.news,
      engines: items(52, (id) => ({
        address: `10.0.0.1:8080`,
        draining: false,
        id,
        sequence: 0,
        service: 's',
        silent: false,
        slots: 7,
        softwareVersion: 'v1',
        startedAtMs: 0,
        zone: 'z',
      })),
      entries: items(170, (name) => ({address: '10.0.0.2:8161', name, zone: 'z'})),
      stores: items(30, (name) => ({heard: true, name, replica: `${name}/1`, retiring: false})),
    };
    const [first, ...others] = news.engines;
    const after = {...news, engines: [{...first!, draining: true}, ...others]};
    const history = new FleetHistory();
    history.put({fleet: 1, news, term: 1});
    history.put({fleet: 2, news: after, term: 1});
    const update = history.updateFor({config: null, fleet: 1, term: 1});
    expect(update.kind).toBe('delta');
    expect(JSON.stringify(update).length).toBeLessThan(400);
    expect(JSON.stringify(news).length).toBeGreaterThan(18_000);
    expect(history.updateFor({config: null, fleet: 1, term: 1})).toBe(update);
  });

  test('a process whose status is no longer kept receives the whole status', () => {
    const history = new FleetHistory();
    for (let fleet = 1; fleet <= 40; fleet++) {
      history.put({fleet, news: EMPTY_VIEW.news, term: 1});
    }
    const kindFor = (fleet: number) => history.updateFor({config: null, fleet, term: 1}).kind;
    expect([kindFor(1), kindFor(39), kindFor(40), kindFor(41)]).toEqual([
      'whole',
      'delta',
      'same',
      'same',
    ]);
  });
});
