/**
 * What engines hold that nobody here knows of. A dispatcher that loses its power leaves its runs behind: their
 * connections are never closed, so engines go on with them until they end or the VM is back. A new dispatcher asks
 * every engine how many requests it holds; what is more than the entry VMs tell and it runs itself takes room like
 * online requests, until it has ended. Runs of open items among them are stopped: their output goes nowhere.
 */
import type {EngineId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';
import type {EngineOccupancy, EngineOrder, RelayWire} from 'stallpaddle-relay';

import {request} from 'node:http';
import {delay, type LogFields} from 'stallpaddle';
import {splitAddress} from 'stallpaddle-relay';

import type {JobsOnlineCounts} from './JobsOnlineCounts';

/** Longest wait for an engine's answer, in milliseconds: it says what it holds without any work. */
const CALL_MS = 150;
/** Time between two questions to an engine that holds unknown requests, in milliseconds: five events. */
const AGAIN_MS = 150;
/** Most questions to one engine: ten seconds, twice as long as an item of the fleets measured. */
const MOST_ASKS = 60;
/** Largest answer that is read, in bytes; those seen have 300. */
const MOST_BYTES = 65_536;

/** What a survey needs of its dispatcher. */
export interface JobsSurveyOptions {
  readonly decide: (engine: EngineId, fields: LogFields) => void;
  readonly engines: readonly EngineView[];
  /** Whether a request is an open item that this dispatcher doesn't run at the engine. */
  readonly isLeft: (requestId: string, engine: EngineId) => boolean;
  /** Whether this dispatcher may decide: a run that looks left may be the next leader's. */
  readonly mayDecide: () => boolean;
  readonly online: JobsOnlineCounts;
  /** Called when an engine's room is known, or has changed. */
  readonly onChange: () => void;
  /** Items that this dispatcher runs at an engine. */
  readonly runsAt: (engine: EngineId) => number;
  readonly wire: RelayWire;
}

/** An engine's answer to a call of this module; null when none came in time. */
function call(address: string, {body, method, path}: EngineOrder): Promise<null | string> {
  return new Promise((resolve) => {
    const headers = {'content-length': Buffer.byteLength(body), 'content-type': 'application/json'};
    const req = request({agent: false, headers, method, path, ...splitAddress(address)});
    const timer = setTimeout(() => req.destroy(), CALL_MS);
    req.on('response', (res) => {
      let text = '';
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString();
        if (text.length > MOST_BYTES) {
          req.destroy();
        }
      });
      res.on('end', () => resolve(text));
      res.on('error', () => resolve(null));
    });
    req.on('error', () => resolve(null));
    req.on('close', () => {
      clearTimeout(timer);
      resolve(null);
    });
    req.end(body);
  });
}

/** See the module's comment. */
export class JobsSurvey {
  private readonly pending: Set<EngineId>;
  private stopped = false;
  private readonly unknown: Record<EngineId, number> = {};

  /**
   * Begins to ask.
   *
   * @param options what it needs of its dispatcher
   */
  constructor(private readonly options: JobsSurveyOptions) {
    const {engines} = options;
    this.pending = new Set(engines.map(({id}) => id));
    engines.forEach((engine) => void this.follow(engine));
  }

  /**
   * Whether an engine has yet to answer for the first time.
   *
   * @param id the engine
   */
  isPending(id: EngineId): boolean {
    return this.pending.has(id);
  }

  /** Asks no more; what was found no longer counts. */
  stop(): void {
    this.stopped = true;
    this.options.online.setUnreported({});
  }

  private async follow(engine: EngineView): Promise<void> {
    let unknown = Infinity;
    for (let asks = 0; asks < MOST_ASKS && !this.stopped; asks++) {
      const held = await this.ask(engine);
      if (this.stopped) {
        return;
      }
      const seen = held === null ? 0 : Math.max(0, held.total - this.knownAt(engine.id));
      // Nobody adds to them, so what is seen later beyond that are requests whose sender has not told them yet.
      unknown = Math.min(unknown, seen);
      this.note(engine.id, unknown);
      if (unknown === 0) {
        return;
      }
      await this.stopLeft(engine, held?.running ?? []);
      await delay(AGAIN_MS);
    }
  }

  private async ask({address}: EngineView): Promise<EngineOccupancy | null> {
    const {wire} = this.options;
    const text = await call(address, {body: '', method: 'GET', path: wire.occupancyPath});
    return text === null ? null : wire.readOccupancy(text);
  }

  private async stopLeft(engine: EngineView, running: readonly string[]): Promise<void> {
    const {engines, isLeft, mayDecide} = this.options;
    if (!mayDecide()) {
      return;
    }
    const other = engines.find(({id, service}) => id !== engine.id && service === engine.service);
    const left = running.filter((id) => isLeft(id, engine.id));
    if (other !== undefined) {
      await Promise.all(left.map((id) => this.stopRun(engine, id, other.address)));
    }
  }

  private async stopRun(engine: EngineView, id: string, other: string): Promise<void> {
    const {decide, wire} = this.options;
    const text = await call(engine.address, wire.stopRun(id, other));
    const remains = text === null ? null : wire.readRemains(text);
    decide(engine.id, {isStopped: remains !== null, left: id});
    if (remains !== null) {
      await call(engine.address, wire.releaseRemains(remains));
    }
  }

  private knownAt(id: EngineId): number {
    const {online, runsAt} = this.options;
    return (online.reported()[id] ?? 0) + runsAt(id);
  }

  private note(id: EngineId, unknown: number): void {
    const {decide, onChange, online} = this.options;
    if (unknown > 0 || this.unknown[id] !== undefined) {
      decide(id, {unknown});
    }
    if (unknown > 0) {
      this.unknown[id] = unknown;
    } else {
      delete this.unknown[id];
    }
    this.pending.delete(id);
    online.setUnreported({...this.unknown});
    onChange();
  }
}
