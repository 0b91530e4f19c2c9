/** Stand-in of a model engine, after the users' protocol page. */
import {createServer} from 'node:http';

import {call} from './fleet.mjs';

let starts = 0;

export class Engine {
  /**
   * @param options host, port, service, zone, slots; `controls` lists addresses of the system's control calls; `events`,
   * `gapMs` and `burst` (events written together) describe a stream; `onRun` is called when the engine begins work on a request, `onEnd` when it ends it, with
   * whether its whole answer was written
   */
  constructor(options) {
    this.options = {burst: 5, events: 25, gapMs: 4, port: 8080, slots: 8, ...options};
    this.id = `i-${process.pid.toString(16)}${(++starts).toString(16).padStart(4, '0')}`;
    this.running = new Map();
    this.waiting = 0;
    this.sequence = 0;
  }

  get address() {
    return `${this.options.host}:${this.options.port}`;
  }

  async start() {
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, resolve);
    });
    void this.beat();
    this.timer = setInterval(() => void this.beat(), 1200);
  }

  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  async beat() {
    const {controls, service, slots, zone} = this.options;
    const body = JSON.stringify({
      address: this.address,
      'call-seq': ++this.sequence,
      'cold-left-ms': 0,
      models: [{adapters: [], name: 'm', version: 1}],
      service,
      slots,
      stage: 'mixed',
      state: 'ready',
      version: 'v1',
      zone,
    });
    const order = [...controls].sort(() => Math.random() - 0.5);
    for (const address of this.beatAddress ? [this.beatAddress, ...order] : order) {
      const answer = await call(address, {
        body,
        headers: {'content-type': 'application/json'},
        method: 'PUT',
        path: `/stallpaddle/instances/${this.id}`,
        timeoutMs: 1000,
      });
      if (answer.status >= 200 && answer.status < 300) {
        this.beatAddress = answer.body ? JSON.parse(answer.body)['beat-addr'] : undefined;
        return;
      }
      this.beatAddress = undefined;
    }
  }

  report() {
    return JSON.stringify({
      busy: false,
      'call-seq': 0,
      handles: 0,
      'kv-total': 90_000,
      'kv-used': 0,
      models: [{adapters: [], name: 'm', version: 1}],
      'num-running': this.running.size,
      'num-waiting': this.waiting,
      runs: [...this.running.keys()].map((id) => [id, 100, 1, 0]),
      stage: 'mixed',
    });
  }

  async handle(req, res) {
    res.on('error', () => {});
    const body = [];
    try {
      for await (const chunk of req) {
        body.push(chunk);
      }
    } catch {
      return;
    }
    if (req.url.startsWith('/stallpaddle/report')) {
      res.writeHead(200, {'content-type': 'application/json'}).end(this.report());
      return;
    }
    if (req.url === '/healthz') {
      res.writeHead(200, {'Instance-Id': this.id}).end();
      return;
    }
    if (req.url.startsWith('/stallpaddle/')) {
      res.writeHead(404).end();
      return;
    }
    const id = req.headers['attempt-id'];
    const head = {'Attempt-Id': id ?? ''};
    if (id === undefined || (req.headers['expect-instance'] ?? this.id) !== this.id) {
      res.writeHead(id === undefined ? 400 : 421, {...head, 'Not-Run': '1'}).end();
      return;
    }
    if (this.running.size >= this.options.slots) {
      if (this.waiting >= 4) {
        res.writeHead(503, {...head, 'Not-Run': '1'}).end();
        return;
      }
      this.waiting++;
      while (this.running.size >= this.options.slots && !res.destroyed) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      this.waiting--;
    }
    if (!res.destroyed) {
      await this.run(req, res, id, Buffer.concat(body));
    }
  }

  async run(req, res, id, body) {
    const {burst, events, gapMs, onEnd, onRun} = this.options;
    this.running.set(id, res);
    let last = 0;
    onRun?.({body, engine: this.id, headers: req.headers, id, method: req.method, url: req.url});
    try {
      res.writeHead(200, {
        'Attempt-Id': id,
        'content-type': 'text/event-stream',
        'Server-Stamp': `${this.id}.${id}`,
        'Weight-Versions': '1',
      });
      const from = Number(req.headers['last-event-id'] ?? 0);
      for (let event = from + 1; event <= events && !res.destroyed; event += burst) {
        await new Promise((resolve) => setTimeout(resolve, gapMs * burst));
        last = Math.min(events, event + burst - 1);
        const texts = Array.from(
          {length: last - event + 1},
          (_, at) => `id: ${event + at}\ndata: ${id} ${event + at}\n\n`,
        );
        res.write(texts.join(''));
      }
      res.end();
    } finally {
      this.running.delete(id);
      onEnd?.({engine: this.id, id, isWhole: last === events && !res.destroyed});
    }
  }
}
