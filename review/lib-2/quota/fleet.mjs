/**
 * Starts the project's program as separate processes on loopback addresses, with the run line of `deploy/system.toml` and
 * settings filled from `deploy/node.json.template`.
 */
import {spawn} from 'node:child_process';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..', '..', '..');

/** Ports as in the users' example of a settings file. */
export const PORTS = {control: 8166, directory: 8164, front: 8161, peer: 7720, ready: 8167};
const ZONES = ['recife-a', 'fortaleza-b', 'salvador-c'];

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The program and its arguments, as the deploy file names them for a role. */
function runLine(role) {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

function lookUp(fields, name) {
  return name.split('.').reduce((value, key) => value?.[key], fields);
}

/** Fills the gaps of the template that the project's template uses. */
function fill(template, fields) {
  return template
    .replace(/\{\{#([^}]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, text) =>
      lookUp(fields, name) ? text : '',
    )
    .replace(/\{\{\^([^}]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, text) =>
      lookUp(fields, name) ? '' : text,
    )
    .replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = lookUp(fields, name);
      return json ? JSON.stringify(value) : String(value ?? '');
    });
}

/** Bounds of the small deployment `aner-registro`. */
export const BOUNDS = {'ack-ms': 4000, 'config-apply-ms': 2000, 'drain-ms': 2000, 'grace-s': 8};

/** A fleet of `fronts` entry machines, the first three of them with a disk, and three store machines. */
export class Fleet {
  constructor({fronts = 9, stores = 3} = {}) {
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.network = `127.${64 + Math.floor(Math.random() * 180)}.${Math.floor(Math.random() * 250)}`;
    this.machines = [];
    this.ends = [];
    for (let at = 0; at < fronts; at++) {
      this.add('front', `${this.network}.${at + 1}`, at, at < 3);
    }
    for (let at = 0; at < stores; at++) {
      this.add('store', `${this.network}.${at + 101}`, at, true);
    }
    process.once('exit', () => this.killAll());
  }

  add(role, ip, at, hasDisk) {
    const name = `${role}-${ZONES[at % 3]}-${Math.floor(at / 3) + 1}`;
    this.machines.push({hasDisk, ip, isFirst: true, name, role, zone: ZONES[at % 3]});
  }

  get fronts() {
    return this.machines.filter(({role}) => role === 'front');
  }

  get stores() {
    return this.machines.filter(({role}) => role === 'store');
  }

  get seeds() {
    return this.fronts.slice(0, 3).map(({ip}) => `${ip}:${PORTS.control}`);
  }

  settingsOf(machine) {
    const {hasDisk, ip, isFirst, name, role, zone} = machine;
    const isFront = role === 'front';
    const listen = isFront
      ? Object.fromEntries(
          ['front', 'ready', 'control', 'directory'].map((key) => [key, `${ip}:${PORTS[key]}`]),
        )
      : {};
    const template = readFileSync(path.join(ROOT, 'deploy/node.json.template'), 'utf8');
    return fill(template, {
      bootstrap: isFirst,
      bounds: BOUNDS,
      'data-dir': hasDisk ? path.join(this.folder, name, 'data') : '',
      'heartbeat-ms': 1200,
      ip,
      limits: isFront
        ? {
            cores: hasDisk ? 2 : 1,
            'cpu-share': hasDisk ? 0.608 : 0.675,
            'link-mbps': 1000,
            'max-fds': 4100,
            'memory-mb': 350,
          }
        : {cores: 2, 'cpu-share': 0.675, 'link-mbps': 600, 'max-fds': 8200, 'memory-mb': 390},
      listen,
      'node-name': name,
      'port-range': [PORTS.peer, PORTS.peer + 15],
      role,
      seeds: this.seeds,
      tolerate: {machines: 1, regions: 0, zones: 0},
      zone,
      ...machine.extraFields,
    });
  }

  start(machine) {
    const folder = path.join(this.folder, machine.name);
    mkdirSync(folder, {recursive: true});
    const file = path.join(folder, 'node.json');
    const settings = JSON.parse(this.settingsOf(machine));
    writeFileSync(file, JSON.stringify({...settings, ...machine.extraSettings}));
    machine.isFirst = false;
    const [program, ...args] = runLine(machine.role);
    const out = openSync(path.join(folder, 'out.txt'), 'a');
    const {HOME, LANG, PATH} = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {HOME, LANG, PATH, STALLPADDLE_SETTINGS: file},
      stdio: ['ignore', out, out],
    });
    closeSync(out);
    machine.child = child;
    machine.shouldRun = true;
    child.once('exit', (code, signal) => {
      if (machine.child !== child) {
        return;
      }
      machine.child = undefined;
      if (machine.shouldRun) {
        // The platform starts a process that has ended again, after a short delay.
        this.ends.push({at: Date.now(), code, name: machine.name, signal});
        setTimeout(() => machine.shouldRun && !machine.child && this.start(machine), 300);
      }
    });
  }

  startAll() {
    this.machines.forEach((machine) => this.start(machine));
  }

  /** Kills a process; it stays down until it is started again. */
  kill(machine) {
    machine.shouldRun = false;
    const {child} = machine;
    machine.child = undefined;
    child?.kill('SIGCONT');
    child?.kill('SIGKILL');
  }

  killAll() {
    this.machines.forEach((machine) => this.kill(machine));
  }

  output(machine) {
    return readFileSync(path.join(this.folder, machine.name, 'out.txt'), 'utf8');
  }

  end() {
    this.killAll();
    if (!process.env.KEEP) {
      rmSync(this.folder, {force: true, recursive: true});
    }
  }
}

/**
 * Makes one HTTP call on a new connection. Resolves to `{status, headers, body, whole}`, or to `{error}`.
 */
export function call(
  address,
  {body, headers = {}, method = 'GET', path: url, timeoutMs = 5000, onSent},
) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const bytes = body === undefined ? undefined : Buffer.from(body);
    const req = request({
      agent: false,
      headers: {...headers, ...(bytes ? {'content-length': bytes.length} : {})},
      host,
      method,
      path: url,
      port: Number(port),
    });
    const timer = setTimeout(() => req.destroy(new Error('timeout')), timeoutMs);
    const end = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => {});
      res.on('close', () =>
        end({
          body: Buffer.concat(chunks).toString(),
          headers: res.headers,
          status: res.statusCode,
          whole: res.complete,
        }),
      );
    });
    req.on('error', (err) => end({error: err.message}));
    req.end(bytes);
    onSent?.();
  });
}

/** Repeats a call to any of several addresses until it has a status; other answers are passed over. */
export async function callUntil(addresses, status, options, forMs = 30_000) {
  const endAt = Date.now() + forMs;
  for (let at = 0; Date.now() < endAt; at++) {
    const answer = await call(addresses[at % addresses.length], {timeoutMs: 1000, ...options});
    if (answer.status === status) {
      return answer;
    }
    await delay(50);
  }
  throw new Error(`${options.method ?? 'GET'} ${options.path} got no ${status}`);
}
