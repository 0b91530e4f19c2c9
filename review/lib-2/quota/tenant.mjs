/** One tenant's online traffic, after the users' pages, and the check of the QUOTA rule on what engines run. */
import {Engine} from './engine.mjs';
import {call, callUntil, delay, PORTS} from './fleet.mjs';

export const HOST = 'nony24.example';
const KEY = 'f75rjvz48wuakn2ftima';
const SERVICE = 'huvo11a';
/** The limit is 1.6 times what the tenant usually sends (`quota_x` of the sites with tenants). */
const QUOTA_X = 1.6;
/** `hot_tenant` of zfns-ligaserv-grown: 7.5 times the usual for 6.5 s. */
const HOT_X = 7.5;
const HOT_MS = 6500;
/** Bounds of the sites with tenants. */
const WINDOW_S = 5;
const EXCESS = 0.1;
const SLACK = 20;
/** The sheet's deadline and the client's retries. */
const DEADLINE_MS = 5057;
const RETRIES = 1;
/** A new connection is given a second to come up; a client tries again after that. */
const CONNECT_MS = 1000;
/** Longest time for which clients keep the list of addresses, and for which they pass over an address that failed. */
const TTL_MAX_MS = 5000;
const FAILED_MS = 5000;

export class Tenant {
  constructor({burst, fleet, name, note, rate}) {
    Object.assign(this, {burst, fleet, name, note, rate});
    this.allowed = Math.floor((rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK);
    this.runs = [];
    this.sent = new Map();
    this.answers = {};
    this.addresses = [];
    this.resolvedAt = -Infinity;
    this.failed = new Map();
    this.lastId = 0;
    this.controls = fleet.fronts.map(({ip}) => `${ip}:${PORTS.control}`);
    this.directories = fleet.fronts.map(({ip}) => `${ip}:${PORTS.directory}`);
    this.engines = Array.from(
      {length: 8},
      (_, at) =>
        new Engine({
          controls: this.controls,
          host: `${fleet.network}.${201 + at}`,
          onRun: ({headers, id}) => this.runs.push({at: Date.now(), id, tenant: headers.tenant}),
          service: SERVICE,
          zone: ['recife-a', 'fortaleza-b', 'salvador-c'][at % 3],
        }),
    );
  }

  configuration() {
    return JSON.stringify({
      limits: {
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15_000,
        'max-body-bytes': 4_194_304,
        'max-header-bytes': 16_384,
      },
      routes: [
        {
          'gap-target-ms': 500,
          host: HOST,
          kind: 'streaming',
          'max-attempts': 2,
          name: 'r-8j9rvsn',
          'path-prefix': '/lohu930/',
          priority: 0,
          public: false,
          resumable: false,
          service: SERVICE,
          'slo-ms': 303,
          sticky: true,
          'timeout-ms': 5000,
        },
      ],
      services: [
        {
          engine: {slots: 8},
          'health-path': '/healthz',
          'max-conns': 540,
          name: SERVICE,
          protocol: 'h1',
          tls: false,
        },
      ],
      tenants: [
        {
          'api-keys': [KEY],
          burst: this.burst,
          name: this.name,
          priority: 1,
          'rate-per-s': this.rate,
        },
      ],
      version: 7,
    });
  }

  /** Starts the engines and has the configuration taken; resolves once every front machine is ready. */
  async prepare() {
    await Promise.all(this.engines.map((engine) => engine.start()));
    await callUntil(this.controls, 200, {
      body: this.configuration(),
      headers: {'content-type': 'application/json'},
      method: 'PUT',
      path: '/stallpaddle/config',
    });
    for (const {ip} of this.fleet.fronts) {
      await callUntil([`${ip}:${PORTS.ready}`], 200, {path: '/stallpaddle/ready'});
    }
  }

  stop() {
    this.engines.forEach((engine) => engine.stop());
  }

  async resolve() {
    const order = [...this.directories].sort(() => Math.random() - 0.5).slice(0, 3);
    for (const directory of order) {
      const path = `/stallpaddle/resolve?name=${HOST}&region=nordeste&zone=recife-a`;
      const answer = await call(directory, {path, timeoutMs: 1000});
      if (answer.status === 200 && answer.whole) {
        this.addresses = JSON.parse(answer.body).addresses;
        this.resolvedAt = Date.now();
        return;
      }
    }
  }

  /** The address of a new connection: drawn by chance, apart from those that have failed. */
  async pickAddress() {
    if (Date.now() - this.resolvedAt > TTL_MAX_MS) {
      this.resolving ??= this.resolve().finally(() => {
        this.resolving = undefined;
      });
      await this.resolving;
    }
    const now = Date.now();
    const good = this.addresses.filter((address) => (this.failed.get(address) ?? 0) < now);
    const from = good.length > 0 ? good : this.addresses;
    return from[Math.floor(Math.random() * from.length)];
  }

  /** One request with its retries. */
  async ask(endAt, retries) {
    const address = await this.pickAddress();
    const leftMs = endAt - Date.now();
    if (address === undefined || leftMs <= 0) {
      return;
    }
    const id = `9c41d07b${(++this.lastId).toString(16).padStart(8, '0')}`;
    const sentAt = Date.now();
    this.sent.set(id, sentAt);
    const answer = await call(address, {
      body: 'x'.repeat(200),
      headers: {
        'Attempt-Id': id,
        Authorization: `Bearer ${KEY}`,
        'Deadline-Ms': String(leftMs),
        Host: HOST,
        Model: 'm',
        'Prompt-Prefix': '5c1e07a2:200,e4402b7d:250',
        'Token-Count': '450,25',
      },
      method: 'POST',
      path: '/lohu930/2f',
      timeoutMs: leftMs,
    });
    const how = answer.status ?? 'none';
    this.answers[how] = (this.answers[how] ?? 0) + 1;
    if (answer.error !== undefined) {
      this.failed.set(address, Date.now() + FAILED_MS);
    }
    // A stream that may not be resumed is sent again only after a promise, or if no connection came up.
    const wasRefused = how === 429 || how === 503;
    const wasUnread = answer.error?.includes('ECONNREFUSED') === true;
    const pauseMs = wasUnread
      ? sentAt + CONNECT_MS - Date.now()
      : Number(answer.headers?.['retry-after'] ?? 0) * 1000;
    if (retries > 0 && (wasRefused || wasUnread) && pauseMs <= (endAt - Date.now()) / 3) {
      await delay(pauseMs);
      await this.ask(endAt, retries - 1);
    }
  }

  /**
   * Sends the tenant's traffic: as usual, and many times that from `hotAtMs` on.
   */
  async send({forMs, hotAtMs}) {
    const usual = this.rate / QUOTA_X;
    const startedAt = Date.now();
    const open = new Set();
    let due = startedAt;
    while (Date.now() - startedAt < forMs) {
      const since = Date.now() - startedAt;
      const isHot = since >= hotAtMs && since < hotAtMs + HOT_MS;
      while (due <= Date.now()) {
        const one = this.ask(Date.now() + DEADLINE_MS, RETRIES).finally(() => open.delete(one));
        open.add(one);
        due += (-Math.log(1 - Math.random()) * 1000) / (usual * (isHot ? HOT_X : 1));
      }
      await delay(2);
    }
    await Promise.race([Promise.all(open), delay(DEADLINE_MS + 1000)]);
    this.describe(startedAt, forMs);
  }

  describe(startedAt, forMs) {
    for (let second = 0; second < forMs / 1000; second++) {
      const isIn = (at) => Math.floor((at - startedAt) / 1000) === second;
      const asked = [...this.sent.values()].filter(isIn).length;
      const ran = this.runs.filter(({at}) => isIn(at)).length;
      this.note(`second ${second} of traffic: ${asked} sent, ${ran} run by engines`);
    }
    this.note(`client attempts by answer: ${JSON.stringify(this.answers)}`);
  }

  /**
   * Checks the rule: the tenant's requests that are both sent and run within one span of `quota-window-s`.
   *
   * @returns whether it was broken
   */
  isOverQuota(startedAt) {
    const own = this.runs
      .filter(({id, tenant}) => tenant === this.name && this.sent.has(id))
      .sort((a, b) => a.at - b.at);
    let most = {begin: startedAt, count: 0};
    for (const {id} of own) {
      const begin = this.sent.get(id);
      const end = begin + WINDOW_S * 1000;
      const count = own.filter((run) => this.sent.get(run.id) >= begin && run.at <= end).length;
      if (count > most.count) {
        most = {begin, count};
      }
    }
    const from = ((most.begin - startedAt) / 1000).toFixed(2);
    this.note(
      `most in ${WINDOW_S} s, from ${from} s of traffic: ${most.count} run, ${this.allowed} allowed`,
    );
    return most.count > this.allowed;
  }
}

/** Lines of a record with their times. */
export function makeRecord() {
  const startedAt = Date.now();
  const lines = [];
  const note = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);
  return {note, sinceStartMs: () => Date.now() - startedAt, text: () => `${lines.join('\n')}\n`};
}
