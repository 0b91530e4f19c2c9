/**
 * Starts the processes of the deploy file on loopback addresses, one address for each machine, and ends them again.
 */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

/** Root of the repository. */
export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Figures of a small deployment (SYSTEM.md, Northeast Registry Filings). */
export const BOUNDS = {
  'ack-ms': 4_000,
  'config-apply-ms': 2_000,
  'drain-ms': 2_000,
  'grace-s': 8,
};
const HEARTBEAT_MS = 1_200;
const ZONES = ['recife-a', 'fortaleza-b', 'salvador-c'];

/** Second number of the loopback addresses of this run. */
export const NET = 20 + Math.floor(Math.random() * 200);

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The `run` line of a role in the deploy file. */
function runLine(role) {
  const text = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "([^"]*)"/m.exec(section)[1].split(' ');
}

/** Fills the template of the settings, as far as it is used: gaps, JSON and sections of a value that is given or missing. */
function fill(template, fields) {
  const find = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replaceAll(/\{\{#([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, name, body) => (find(name) ? body : ''))
    .replaceAll(/\{\{\^([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/g, (_, name, body) =>
      find(name) ? '' : body,
    )
    .replaceAll(/\{\{([\w.-]+)\|json\}\}/g, (_, name) => JSON.stringify(find(name)))
    .replaceAll(/\{\{([\w.-]+)\}\}/g, (_, name) => String(find(name) ?? ''));
}

/** Whether something listens at an address. */
function isOpen(host, port) {
  return new Promise((resolve) => {
    const socket = connect({host, port});
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

/** A fleet of processes. Machines are named f1, f2, .. (front) and s1, s2, .. (store). */
export class Fleet {
  folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  machines = new Map();
  /** Processes by machine. */
  running = new Map();
  ended = [];
  isOver = false;

  constructor({net, record, ports = 21_000}) {
    this.net = net;
    this.ports = ports;
    this.record = record;
    process.once('exit', () => this.running.forEach((child) => child.kill('SIGKILL')));
    for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM']) {
      process.once(signal, () => process.exit(2));
    }
  }

  /** Declares a machine. */
  add(name, {role, disk, zone, number}) {
    const ip = `127.${this.net}.${zone + 1}.${number}`;
    const data = path.join(this.folder, name);
    mkdirSync(data, {recursive: true});
    this.machines.set(name, {data: disk ? data : '', ip, name, role, zone: ZONES[zone]});
  }

  ip(name) {
    return this.machines.get(name).ip;
  }

  control(name) {
    return `${this.ip(name)}:${this.ports + 1}`;
  }

  /** Writes the settings of a machine. */
  writeSettings(name, {seeds, bootstrap}) {
    const machine = this.machines.get(name);
    const isFront = machine.role === 'front';
    const at = (port) => `${machine.ip}:${this.ports + port}`;
    const fields = {
      bootstrap,
      bounds: BOUNDS,
      'data-dir': machine.data,
      'heartbeat-ms': HEARTBEAT_MS,
      ip: machine.ip,
      limits: {
        cores: 2,
        'cpu-share': 0.608,
        'link-mbps': 1000,
        'max-fds': 4100,
        'memory-mb': 350,
      },
      listen: isFront ? {control: at(1), directory: at(2), front: at(0), ready: at(3)} : {},
      'node-name': name,
      'port-range': [this.ports + 10, this.ports + 25],
      role: machine.role,
      seeds: seeds.map((seed) => this.control(seed)),
      tolerate: {machines: 1, regions: 0, zones: 0},
      zone: machine.zone,
    };
    const template = readFileSync(path.join(ROOT, 'deploy', 'node.json.template'), 'utf8');
    writeFileSync(this.settingsFile(name), fill(template, fields));
  }

  settingsFile(name) {
    return path.join(this.folder, `${name}.json`);
  }

  /** Starts the process of a machine. */
  start(name) {
    const machine = this.machines.get(name);
    const [program, ...args] = runLine(machine.role);
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        PATH: process.env.PATH,
        STALLPADDLE_SETTINGS: this.settingsFile(name),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = path.join(this.folder, `${name}.out`);
    const keep = (bytes) => {
      if (!this.isOver) {
        appendFileSync(log, bytes);
      }
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      const isCurrent = this.running.get(name) === child;
      if (isCurrent) {
        this.running.delete(name);
      }
      if (!this.isOver && !child.expected) {
        this.ended.push(`${name}: ${signal ?? code}`);
        this.record(`${name} ended by itself: ${signal ?? code}`);
      }
    });
    this.running.set(name, child);
    return child;
  }

  /** Kills processes at the same moment; resolves once they have ended. */
  async kill(names) {
    const children = names.map((name) => this.running.get(name)).filter(Boolean);
    const exits = children.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    children.forEach((child) => {
      child.expected = true;
      child.kill('SIGKILL');
    });
    await Promise.all(exits);
  }

  /** Sends a signal to the process of a machine. */
  signal(name, signal) {
    this.running.get(name)?.kill(signal);
  }

  /** Marks the end of a machine's process as asked for. */
  expectEnd(name) {
    const child = this.running.get(name);
    child.expected = true;
    return new Promise((resolve) => child.once('exit', resolve));
  }

  /** Waits until all processes say that they have started. */
  async untilStarted(limitMs = 20_000) {
    const endAt = performance.now() + limitMs;
    const hasStarted = (name) => this.log(name).some((line) => line.includes('has started.'));
    while (performance.now() < endAt) {
      if ([...this.running.keys()].every(hasStarted)) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  /** Empties the disk of a machine. */
  wipe(name) {
    const {data} = this.machines.get(name);
    rmSync(data, {force: true, recursive: true});
    mkdirSync(data, {recursive: true});
  }

  /** Lines of a machine's log. */
  log(name) {
    try {
      return readFileSync(path.join(this.folder, `${name}.out`), 'utf8').split('\n');
    } catch {
      return [];
    }
  }

  /** Whether the ports of the first machines are free. */
  async portsAreFree() {
    for (const {ip} of this.machines.values()) {
      for (const port of [0, 1, 2, 3, 10]) {
        if (await isOpen(ip, this.ports + port)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Ends everything and removes the data. */
  async end() {
    this.isOver = true;
    const names = [...this.running.keys()];
    names.forEach((name) => this.signal(name, 'SIGCONT'));
    await this.kill(names);
    if (process.env.KEEP === undefined) {
      rmSync(this.folder, {force: true, recursive: true});
    } else {
      console.log(`kept: ${this.folder}`);
    }
  }
}
