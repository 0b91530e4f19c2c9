/**
 * Two engines crash, one after the other, each as it starts an online request whose prompt begins with the same part. A batch job
 * of one item whose prompt begins with that part comes right after.
 */
import {
  configOf,
  makeJob,
  newId,
  putConfig,
  readAll,
  runCase,
  SERVICE,
  stream,
  submit,
} from '../lib-2/day.mjs';
import {Engine, outputOf} from '../lib-2/engine.mjs';
import {Fleet, NET, sleep} from '../lib-2/fleet.mjs';
import {call} from '../lib-2/http.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const ENGINES = 12;
/** Online requests of other clients a second. */
const OTHERS_PER_S = 20;
const RESTART_MS = 4_000;
/** Time from the hold of the item to the trial that the system grants, and the freeze of a machine around it. */
const TRIAL_MS = 10_000;
const FREEZE_MS = Number(process.env.FREEZE_MS ?? 350);
const FREEZE_AHEAD_MS = Number(process.env.AHEAD_MS ?? 50);

const CORE = ['f1', 'f2', 'f3'];
const OTHERS = ['f4', 'f5', 'f6'];
const STORES = ['s1', 's2', 's3'];
const ALL = [...CORE, ...OTHERS, ...STORES];

/** When the dispatcher began to hold an item, by its log. */
async function heldSince(fleet, item) {
  for (let tries = 0; tries < 30; tries++) {
    for (const line of STORES.flatMap((name) => fleet.log(name))) {
      if (line.includes('itemHeld') && line.includes(item)) {
        return Date.parse(JSON.parse(line).time);
      }
    }
    await sleep(100);
  }
  return undefined;
}

/** The process that leads the control group, by its metrics. */
async function controlLeader(fleet) {
  for (const name of CORE) {
    const {text} = await call({host: fleet.ip(name), path: '/metrics', port: 9_101});
    if (/^stallpaddle_replica_leads 1$/m.test(text)) {
      return name;
    }
  }
  return undefined;
}

await runCase(new URL('.', import.meta.url), async (record, onEnd) => {
  const fleet = new Fleet({net: NET, record});
  onEnd(() => fleet.end());
  CORE.forEach((name, zone) => fleet.add(name, {disk: true, number: 10, role: 'front', zone}));
  OTHERS.forEach((name, zone) => fleet.add(name, {disk: false, number: 20, role: 'front', zone}));
  STORES.forEach((name, zone) => fleet.add(name, {disk: true, number: 30, role: 'store', zone}));
  if (!(await fleet.portsAreFree())) {
    return {code: 2, text: 'the ports are taken'};
  }
  ALL.forEach((name) => fleet.writeSettings(name, {bootstrap: true, seeds: CORE}));
  ALL.forEach((name) => fleet.start(name));
  const started = performance.now();
  const at = async (ms) => sleep(Math.max(0, started + ms - performance.now()));

  const controls = [...CORE, ...OTHERS].map((name) => fleet.control(name));
  const hosts = [...CORE, ...OTHERS].map((name) => fleet.ip(name));
  if (!(await putConfig(controls, configOf(3), record))) {
    return {code: 2, text: 'no configuration was acknowledged'};
  }

  const part = newId().slice(0, 8);
  const engines = [];
  let crashesLeft = 0;
  let number = 0;
  const openEngine = async () => {
    const index = number++;
    const engine = new Engine({
      controls: () => [...controls.slice(index % 6), ...controls.slice(0, index % 6)],
      host: `127.${NET}.9.${index + 1}`,
      id: `i-${newId()}`,
      port: 21_080,
      record,
      service: SERVICE,
      zone: 'recife-a',
    });
    engine.onRun = (run) => {
      if (crashesLeft > 0 && run.parts.startsWith(part)) {
        crashesLeft--;
        record(`engine ${engine.id} crashes as it starts the request ${run.id}`);
        setTimeout(() => engine.crash(), 5);
        setTimeout(() => void openEngine(), RESTART_MS);
      }
    };
    engines.push(engine);
    await engine.open();
  };
  await Promise.all(Array.from({length: ENGINES}, openEngine));
  onEnd(() =>
    Promise.all(engines.filter(({isClosed}) => !isClosed).map((engine) => engine.close())),
  );

  await at(12_000);
  const counts = {};
  let isOver = false;
  const others = (async () => {
    for (let sent = 0; !isOver; sent++) {
      const parts = `aa${sent % 8}:100,${newId().slice(0, 8)}:250`;
      void stream(hosts[sent % hosts.length], fleet.ports, {parts}).then(({status}) => {
        counts[status] = (counts[status] ?? 0) + 1;
      });
      await sleep(1_000 / OTHERS_PER_S);
    }
  })();
  onEnd(async () => {
    isOver = true;
    await others;
  });

  await at(16_000);
  for (let round = 0; round < 2; round++) {
    crashesLeft = TROUBLE ? 1 : 0;
    const id = newId();
    const res = await stream(hosts[round], fleet.ports, {
      id,
      parts: `${part}:100,${newId().slice(0, 8)}:250`,
    });
    record(`request ${id} with the part ${part}: ${res.status || res.why}`);
    await sleep(2_000);
  }

  const job = makeJob(1, 100, part);
  const [{id: item}] = job.requests;
  if (!(await submit(hosts, fleet.ports, job, record)).accepted) {
    return {code: 2, text: 'no node accepted the batch job'};
  }
  if (TROUBLE) {
    const heldAt = await heldSince(fleet, item);
    const leader = await controlLeader(fleet);
    if (heldAt === undefined || leader === undefined) {
      return {code: 2, text: 'the item was not held, or no process leads the control group'};
    }
    record(`the item is held; ${leader} leads the control group`);
    await sleep(heldAt + TRIAL_MS - FREEZE_AHEAD_MS - Date.now());
    fleet.signal(leader, 'SIGSTOP');
    await sleep(FREEZE_MS);
    fleet.signal(leader, 'SIGCONT');
    record(`${leader} was frozen for ${FREEZE_MS} ms`);
  }
  const results = await readAll(hosts, fleet.ports, job, record, 40_000);
  for (const engine of engines) {
    for (const run of engine.runs.filter(({id}) => id === item)) {
      record(
        `run of item ${item} at ${engine.id}: asked to go on after event ${run.from}, made ${run.made}, ${run.end}, from ` +
          `${((run.startedAt - started) / 1_000).toFixed(3)} to ${((run.endedAt - started) / 1_000).toFixed(3)} s`,
      );
    }
  }
  record(`other online requests by status: ${JSON.stringify(counts)}`);
  if (results.length === 0) {
    return {code: 2, text: 'the item is not listed'};
  }
  const [{state, text}] = results;
  const whole = outputOf(item, job.events);
  record(`result: ${state}, ${text.split('\n').length} lines; the whole output has ${job.events}`);
  record(
    `begin of the text: ${text
      .split('\n')
      .slice(0, 12)
      .map((line) => line.split(':')[1])
      .join(' ')}`,
  );
  return state === 'completed' && text !== whole
    ? {
        code: 1,
        text: 'ORDER broken: the text of a completed item is not its output, events stand twice in it',
      }
    : {code: 0, text: 'ORDER held: the text is the whole output'};
});
