/**
 * Stand-in for model servers, by PROTOCOL.md: it registers itself, streams numbered events, goes on after `Last-Event-Id`, drops
 * a request when its connection closes, and says `Not-Run` when it has not run one.
 */
import {createServer} from 'node:http';

import {call} from './http.mjs';

const HEARTBEAT_MS = 1_200;
const FIRST_MS = 40;
const STEP_MS = 20;
const QUEUE = 24;

/** Data of an event; it depends on the request and the number alone. */
export const eventData = (id, number) => `${id}:${number}`;
/** Whole output of an item. */
export const outputOf = (id, events) =>
  Array.from({length: events}, (_, at) => eventData(id, at + 1)).join('\n');

export class Engine {
  busy = new Map();
  /** Every run: id, from which event, when it began and how it ended. */
  runs = [];
  sequence = 0;
  waiting = [];
  state = 'ready';

  constructor({id, host, port, service, zone, slots = 8, controls, record}) {
    Object.assign(this, {controls, host, id, port, record, service, slots, zone});
    this.server = createServer((req, res) => this.handle(req, res));
  }

  async open() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.host, resolve);
    });
    this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
    void this.beat();
  }

  async close() {
    clearInterval(this.timer);
    this.isClosed = true;
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Crashes: it says nothing, and nothing listens at its address any more. */
  crash() {
    clearInterval(this.timer);
    this.isClosed = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /** One heartbeat: the next node is called after a failure. */
  async beat() {
    const body = JSON.stringify({
      address: `${this.host}:${this.port}`,
      'call-seq': ++this.sequence,
      'cold-left-ms': 0,
      models: [{adapters: [], name: 'm', version: 1}],
      service: this.service,
      slots: this.slots,
      stage: 'mixed',
      state: this.state,
      version: 'v1',
      zone: this.zone,
    });
    const targets = [...(this.beatAddress ? [this.beatAddress] : []), ...this.controls()];
    for (const target of targets) {
      if (this.isClosed) {
        return false;
      }
      const [host, port] = target.split(':');
      const res = await call({
        body,
        headers: {'content-type': 'application/json'},
        host,
        method: 'PUT',
        path: `/stallpaddle/instances/${this.id}`,
        port: Number(port),
      });
      if (res.status >= 200 && res.status < 300) {
        this.beatAddress = JSON.parse(res.text || '{}')['beat-addr'];
        this.beatenAt = performance.now();
        return true;
      }
      this.beatAddress = undefined;
    }
    return false;
  }

  handle(req, res) {
    const chunks = [];
    req.on('error', () => {});
    res.on('error', () => {});
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => this.answer(req, res, Buffer.concat(chunks)));
  }

  answer(req, res, body) {
    const id = req.headers['attempt-id'];
    const expected = req.headers['expect-instance'];
    const path = req.url.split('?')[0];
    const own = {'Attempt-Id': id ?? '', 'Instance-Id': this.id};
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {...own, 'Not-Run': '1'}).end();
      return;
    }
    if (path === '/stallpaddle/report') {
      res.writeHead(200, {'content-type': 'application/json'}).end(
        JSON.stringify({
          busy: false,
          'call-seq': 0,
          handles: 0,
          'kv-total': 72000,
          'kv-used': 0,
          models: [{adapters: [], name: 'm', version: 1}],
          'num-running': this.busy.size,
          'num-waiting': this.waiting.length,
          runs: [...this.busy.values()].map((run) => [run.id, 100, run.made, 0]),
          stage: 'mixed',
          state: this.state,
        }),
      );
      return;
    }
    if (path === '/healthz') {
      res.writeHead(this.state === 'ready' ? 200 : 503, own).end();
      return;
    }
    if (path.startsWith('/stallpaddle/')) {
      res.writeHead(404).end();
      return;
    }
    if (id === undefined) {
      res.writeHead(400, {'Not-Run': '1'}).end();
      return;
    }
    const [, out = '20'] = (req.headers['token-count'] ?? '').split(',');
    const run = {
      body: body.toString('base64'),
      events: Math.max(1, Math.min(400, Number(out) || 20)),
      from: Number(req.headers['last-event-id'] ?? 0),
      host: req.headers.host,
      id,
      parts: req.headers['prompt-prefix'] ?? '',
      path: req.url,
      res,
    };
    run.made = run.from;
    res.on('close', () => this.drop(run));
    if (this.busy.size < this.slots) {
      this.run(run);
    } else if (this.waiting.length < QUEUE) {
      this.waiting.push(run);
    } else {
      res.writeHead(503, {...own, 'Not-Run': '1'}).end();
    }
  }

  run(run) {
    const key = Symbol(run.id);
    run.key = key;
    run.startedAt = performance.now();
    run.end = 'runs';
    this.busy.set(key, run);
    this.runs.push(run);
    this.onRun?.(run);
    run.timer = setTimeout(() => this.first(run), FIRST_MS);
  }

  first(run) {
    run.res.writeHead(200, {
      'Attempt-Id': run.id,
      'Instance-Id': this.id,
      'Server-Stamp': `stamp.${this.id}.${run.id}`,
      'content-type': 'text/event-stream',
    });
    this.step(run);
  }

  step(run) {
    run.made++;
    run.res.write(`id: ${run.made}\ndata: ${eventData(run.id, run.made)}\n\n`);
    if (run.made >= run.events) {
      run.end = 'whole';
      run.res.end();
      this.free(run);
      return;
    }
    run.timer = setTimeout(() => this.step(run), STEP_MS);
  }

  drop(run) {
    this.waiting = this.waiting.filter((other) => other !== run);
    if (run.end === 'runs') {
      run.end = 'dropped';
      this.free(run);
    }
  }

  free(run) {
    clearTimeout(run.timer);
    run.endedAt = performance.now();
    this.busy.delete(run.key);
    const next = this.waiting.shift();
    if (next !== undefined) {
      this.run(next);
    }
  }
}
