/** Guards the way of engines' speeds from a VM's observations to its factors, also while answers are lost. */
import type {JobsDispatcher, JobsRequest} from 'stallpaddle-jobs';
import type {TryOutcome} from 'stallpaddle-rpc';

import {decodeValue, delay, encodeValue, systemClock} from 'stallpaddle';
import {EMPTY_VIEW, type EngineView} from 'stallpaddle-fleet';
import {JobsFleetLoad, JobsOnlineCounts} from 'stallpaddle-jobs';
import {RelayFleetLoad, RelayOnlineLoad, RelaySpeeds} from 'stallpaddle-relay';
import {expect, test} from 'vitest';

import {NodeMetrics} from '../../NodeMetrics';
import {NodeOnlineHandler} from '../../NodeOnlineHandler';
import {NodeOnlineReporter} from '../../NodeOnlineReporter';

type OnlineReport = Extract<JobsRequest, {kind: 'tellOnline'}>;

const ENGINES: readonly EngineView[] = ['e0', 'e1', 'e2'].map((id) => ({
  address: id,
  draining: false,
  id,
  sequence: 0,
  service: 's',
  silent: false,
  slots: 8,
  softwareVersion: 'v1',
  startedAtMs: 0,
  zone: 'z',
}));

function dispatcherOf(isOn: boolean) {
  const online = new JobsOnlineCounts(systemClock);
  const fleetLoad = new JobsFleetLoad({
    isOn: (feature) => isOn && feature === 'engineSpeeds',
    room: () => undefined,
    runs: () => new Map(),
  });
  fleetLoad.speeds.start({
    clock: systemClock,
    decide: () => {},
    isOn: () => isOn,
    view: () => ({...EMPTY_VIEW, news: {...EMPTY_VIEW.news, engines: ENGINES}}),
  });
  const dispatcher = {
    fleetLoad,
    online,
    stalledEngines: () => [],
    updateOnlineCounts: (sender: string, sequence: number, own: Readonly<Record<string, number>>) =>
      void online.update(sender, sequence, own),
  } as never as JobsDispatcher;
  return {dispatcher, handler: new NodeOnlineHandler()};
}

/** Runs a VM for 2 s whose engine e0 is slow; every third answer is lost. */
async function runVm(isOn: boolean) {
  const {dispatcher, handler} = dispatcherOf(isOn);
  const requests: OnlineReport[] = [];
  const tryOnce = ({encoded}: {encoded: Uint8Array}): Promise<TryOutcome> => {
    const request = decodeValue<OnlineReport>(encoded);
    requests.push(request);
    const result = decodeValue<unknown>(encodeValue(handler.exchange(request, dispatcher)));
    const isLost = requests.length % 3 === 0;
    return Promise.resolve(isLost ? {kind: 'unknown'} : {kind: 'answered', result});
  };
  const online = new RelayOnlineLoad(systemClock);
  const fleetLoad = new RelayFleetLoad(systemClock);
  const speeds = new RelaySpeeds({
    clock: systemClock,
    engines: () => ENGINES,
    isOn: () => isOn,
  });
  const client = {leaderHost: null, post: () => false, tryOnce};
  const reporter = new NodeOnlineReporter(client, online, 'v', () => 1, {
    onAnswer: (answer) => {
      speeds.onAnswer();
      fleetLoad.apply(answer, answer.isAll);
    },
    read: (isAnswered) => speeds.read(isAnswered),
  });
  void reporter.run();
  for (let count = 0; count < 80; count++) {
    const end = online.registerRequest('e0');
    await delay(25);
    ENGINES.forEach((engine) => speeds.addGap(engine, 1, engine.id === 'e0' ? 40 : 25));
    end();
  }
  reporter.stop();
  return {dispatcher, fleetLoad, requests};
}

test('a VM learns the factor of an engine that it observed, from few reports', async () => {
  const {dispatcher, fleetLoad, requests} = await runVm(true);
  expect(fleetLoad.speedOf('e0')).toBeCloseTo(0.625, 1);
  expect([fleetLoad.speedOf('e1'), fleetLoad.speedOf('e2')]).toEqual([1, 1]);
  const told = requests.filter(({speeds}) => speeds !== undefined);
  expect(told.length).toBeLessThanOrEqual(9);
  expect(requests.length).toBeGreaterThan(2 * told.length);
  const metrics = new NodeMetrics();
  metrics.exposeLabelledGauge('speed', 'Speed.', 'engine', () => dispatcher.fleetLoad.speeds.all());
  expect(await metrics.text()).toContain('speed{engine="e1"} 1');
});

test('messages are as before while the feature is off', async () => {
  const {fleetLoad, requests} = await runVm(false);
  expect(fleetLoad.speedOf('e0')).toBe(1);
  const fields = new Set(requests.flatMap((request) => Object.keys(request)));
  expect([...fields].sort()).toEqual(['kind', 'known', 'own', 'sender', 'sequence']);
});
