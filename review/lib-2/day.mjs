/** What the cases have in common: the record, the operator's configuration, clients of batch jobs. */
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';

import {call} from './http.mjs';

export const HOST = 'nony24.example';
export const SERVICE = 'dele69a';
export const newId = () => randomBytes(8).toString('hex');

/** Writes what was sent, answered and run. */
export class Recorder {
  lines = [];
  startedAt = performance.now();

  get seconds() {
    return (performance.now() - this.startedAt) / 1_000;
  }

  line = (text) => {
    const line = `${this.seconds.toFixed(3).padStart(8)} ${text}`;
    this.lines.push(line);
    if (process.env.SHOW !== undefined) {
      console.log(line);
    }
  };

  write(folder) {
    writeFileSync(new URL('record.txt', folder), `${this.lines.join('\n')}\n`);
  }
}

const BATCH_ROUTE = {
  host: HOST,
  kind: 'batch',
  'max-attempts': 3,
  'max-queued-tokens': 1_400_000,
  name: 'r-batch',
  'path-prefix': '/pule252/',
  priority: 2,
  resumable: true,
  'retention-s': 60,
  'run-target-ms': 18_000,
  service: SERVICE,
  'slo-ms': 400,
  sticky: true,
  'timeout-ms': 15_000,
};
const ONLINE_ROUTE = {
  'gap-target-ms': 200,
  host: HOST,
  kind: 'streaming',
  'max-attempts': 1,
  name: 'r-online',
  'path-prefix': '/lohu930/',
  priority: 0,
  resumable: false,
  service: SERVICE,
  'slo-ms': 300,
  sticky: true,
  'timeout-ms': 5_000,
};

/** A configuration of a small deployment. */
export function configOf(
  version,
  {routes = [ONLINE_ROUTE, BATCH_ROUTE], services = [SERVICE]} = {},
) {
  return {
    limits: {
      'header-timeout-ms': 3_000,
      'idle-timeout-ms': 15_000,
      'max-body-bytes': 4_194_304,
      'max-header-bytes': 16_384,
    },
    routes,
    services: services.map((name) => ({
      engine: {'kv-capacity': 72_000, models: [{name: 'm'}], slots: 8},
      'health-path': '/healthz',
      'max-conns': 310,
      name,
      protocol: 'h1',
      tls: false,
    })),
    version,
  };
}
export {BATCH_ROUTE, ONLINE_ROUTE};

/** Sends a configuration until it is acknowledged; picks among the nodes that serve `control`. */
export async function putConfig(controls, config, record, limitMs = 15_000) {
  const endAt = performance.now() + limitMs;
  for (let at = 0; performance.now() < endAt; at++) {
    const [host, port] = controls[at % controls.length].split(':');
    const res = await call({
      body: JSON.stringify(config),
      headers: {'content-type': 'application/json'},
      host,
      method: 'PUT',
      path: '/stallpaddle/config',
      port: Number(port),
    });
    if (res.status === 200) {
      record(`config ${config.version} acknowledged by ${host}`);
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, 150));
  }
  record(`config ${config.version} not acknowledged`);
  return false;
}

/** Sends a stream of the online route. */
export function stream(host, port, {id = newId(), parts, events = 39, deadlineMs = 5_000}) {
  return call({
    body: `question of ${id}`,
    headers: {
      'Attempt-Id': id,
      'Deadline-Ms': String(deadlineMs),
      Host: HOST,
      Model: 'm',
      'Prompt-Prefix': parts,
      'Token-Count': `350,${events}`,
    },
    host,
    method: 'POST',
    path: `/lohu930/${id.slice(0, 4)}`,
    port,
    timeoutMs: deadlineMs + 500,
  });
}

/** Makes a batch job; the items share a part of their prompts where one is given. */
export function makeJob(items, events = 40, part = newId().slice(0, 8)) {
  const id = newId();
  const requests = Array.from({length: items}, () => {
    const item = newId();
    return {
      body: Buffer.from(`body of ${item}`).toString('base64'),
      headers: {
        Model: 'm',
        'Prompt-Prefix': `${part}:100,${newId().slice(0, 8)}:250`,
        'Token-Count': `350,${events}`,
      },
      id: item,
      path: `/pule252/3/${item.slice(0, 4)}`,
      tokens: 350 + events,
    };
  });
  return {events, id, requests};
}

/** Submits a batch job until it gets a 202, at other nodes after a failure. */
export async function submit(hosts, port, job, record, limitMs = 8_000) {
  const endAt = performance.now() + limitMs;
  const statuses = [];
  for (let at = 0; performance.now() < endAt; at++) {
    const host = hosts[at % hosts.length];
    const res = await call({
      body: JSON.stringify({requests: job.requests}),
      headers: {'Attempt-Id': job.id, Host: HOST, 'content-type': 'application/json'},
      host,
      method: 'POST',
      path: `/pule252/${job.id}`,
      port,
      timeoutMs: 4_000,
    });
    statuses.push(res.status);
    record(
      `batch job ${job.id} (${job.requests.length} items) sent to ${host}: ${res.status || res.why}`,
    );
    if (res.status === 202) {
      return {accepted: true, statuses};
    }
    await new Promise((resolve) => setTimeout(resolve, 300));
  }
  return {accepted: false, statuses};
}

/** Reads the results of a batch job at one node. */
export async function read(host, port, job, from = 0, waitMs = 0) {
  const res = await call({
    headers: {Host: HOST, 'Wait-Ms': String(waitMs)},
    host,
    path: `/stallpaddle/lots/${job}?after-rev=${from}`,
    port,
    timeoutMs: 3_500,
  });
  return {...res, value: res.status === 200 ? JSON.parse(res.text) : undefined};
}

/** Reads a batch job at several nodes until all items are listed or the time is over. */
export async function readAll(hosts, port, job, record, limitMs) {
  const endAt = performance.now() + limitMs;
  let results = [];
  for (let at = 0; performance.now() < endAt; at++) {
    const res = await read(hosts[at % hosts.length], port, job.id, 0);
    if (res.value !== undefined && res.value.results.length >= results.length) {
      ({results} = res.value);
    }
    if (results.length >= job.requests.length) {
      break;
    }
    await new Promise((resolve) => setTimeout(resolve, 500));
  }
  record(`batch job ${job.id}: ${results.length} of ${job.requests.length} items listed`);
  return results;
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, body) {
  const recorder = new Recorder();
  const cleanups = [];
  let code = 2;
  try {
    const verdict = await body(recorder.line, (cleanup) => cleanups.unshift(cleanup));
    recorder.line(verdict.text);
    code = verdict.code;
  } catch (err) {
    recorder.line(`the case could not run: ${err.stack ?? err}`);
  }
  for (const cleanup of cleanups) {
    await cleanup().catch((err) => recorder.line(`cleanup: ${err}`));
  }
  recorder.write(folder);
  console.log(recorder.lines.at(-1));
  process.exit(code);
}
