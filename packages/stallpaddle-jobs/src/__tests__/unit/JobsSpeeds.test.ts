/** Guards against speeds that outlive their engine or are counted twice, and against changes that VMs do not hear of. */
import {EMPTY_VIEW, type FleetView} from 'stallpaddle-fleet';
import {describe, expect, test, vi} from 'vitest';

import {JobsEstimates} from '../../JobsEstimates';
import {JobsSpeeds} from '../../JobsSpeeds';

/** Milliseconds for each event, by engine. */
const EVENT_MS: Readonly<Record<string, number>> = {e0: 42, e1: 25, e2: 25, e3: 25, e4: 16};

function engineView(id: string, startedAtMs = 0) {
  return {
    address: id,
    draining: false,
    id,
    sequence: 0,
    service: 's',
    silent: false,
    slots: 8,
    softwareVersion: 'v1',
    startedAtMs,
    zone: 'z',
  };
}

function viewOf(engines: readonly ReturnType<typeof engineView>[]): FleetView {
  return {...EMPTY_VIEW, news: {...EMPTY_VIEW.news, engines}};
}

function speedsOf({isOn = true} = {}) {
  let now = 0;
  let number = 0;
  let view = viewOf(Object.keys(EVENT_MS).map((id) => engineView(id)));
  const decide = vi.fn();
  const speeds = new JobsSpeeds();
  const clock = {monotonicMs: () => now} as never;
  speeds.start({clock, decide, isOn: () => isOn, view: () => view});
  /** Reports of a VM for some time. */
  const report = (ms: number, eventMs = EVENT_MS): void => {
    for (const end = now + ms; now < end; now += 250) {
      const samples = Object.entries(eventMs).map(
        ([id, each]) => [id, {events: 10, firstMs: 0, firsts: 0, ms: 10 * each}] as const,
      );
      speeds.observe({number: ++number, samples: Object.fromEntries(samples), sender: 'a'});
    }
  };
  const setView = (engines: readonly ReturnType<typeof engineView>[]): void => {
    view = viewOf(engines);
  };
  return {decide, report, setView, speeds};
}

describe('JobsSpeeds', () => {
  test('tells the changed speeds, and logs each change of a class', () => {
    const {decide, report, speeds} = speedsOf();
    report(2_000);
    expect(speeds.since(null)).toEqual({e0: 0.6, e4: 1.56});
    expect(speeds.since(0)).toEqual({e0: 0.6, e4: 1.56});
    expect(speeds.since(speeds.version)).toEqual({});
    expect(decide.mock.calls.map(([id]) => id as string)).toEqual(['e0', 'e4']);
    const fields = {ageMs: 0, before: 1, class: 'slow', medianMs: 25, msPerEvent: 42, speed: 0.6};
    expect(decide.mock.calls[0]![1]).toMatchObject(fields);
  });

  test('an engine that restarts or is removed is of usual speed, and VMs are told so', () => {
    const {report, setView, speeds} = speedsOf();
    report(2_000);
    const {version} = speeds;
    setView([engineView('e0', 7), engineView('e1'), engineView('e2')]);
    report(250, {});
    expect(speeds.since(version)).toEqual({e0: 1, e4: 1});
    speeds.observeItem('e0', 0, 500);
    report(2_000);
    expect(speeds.all().map(([id]) => id)).toEqual(['e0', 'e1', 'e2']);
    expect(speeds.of('e0')).toBe(0.6);
    report(61_000);
    expect(speeds.since(0)).toEqual({e0: 0.6});
  });

  test('counts a repeated report once', () => {
    const {speeds} = speedsOf();
    const add = vi.spyOn(speeds['speeds'], 'add');
    const samples = {e0: {events: 1, firstMs: 0, firsts: 0, ms: 25}};
    for (const [sender, number] of [
      ['a', 1],
      ['a', 1],
      ['b', 1],
      ['a', 2],
    ] as const) {
      speeds.observe({number, samples, sender});
    }
    expect(add).toHaveBeenCalledTimes(3);
  });

  test('learns nothing while the feature is off', () => {
    const {report, speeds} = speedsOf({isOn: false});
    report(3_000);
    expect([speeds.of('e0'), speeds.since(null), speeds.all()]).toEqual([1, {}, []]);
  });
});

describe('JobsEstimates', () => {
  test('expects an item to run longer at a slow engine', () => {
    const estimates = new JobsEstimates();
    estimates.addItem('r', 100);
    estimates.addRun(100, 5_000, 0.5);
    expect(estimates.remainingMs('r', 0)).toBeCloseTo(2_750);
    expect(estimates.remainingMs('r', 50, 0.5)).toBeCloseTo(2_750);
  });
});
