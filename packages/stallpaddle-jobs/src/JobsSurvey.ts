/**
 * What engines hold that nobody here knows of. A dispatcher that loses its power leaves its runs behind: their
 * connections are never closed, so engines go on with them until they end or the VM is back. A new dispatcher asks
 * every engine how many requests it holds; what is more than the entry VMs tell and it runs itself takes room like
 * online requests, until it has ended.
 */
import type {EngineId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';
import type {RelayWire} from 'stallpaddle-relay';

import {get} from 'node:http';
import {delay, type LogFields} from 'stallpaddle';

import type {JobsOnline} from './JobsOnline';

/** Name under which unknown requests are counted beside those of the entry VMs. */
const UNKNOWN = 'unknown';
/** Longest wait for an engine's answer, in milliseconds: it says what it holds without any work. */
const ASK_MS = 150;
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
  readonly online: JobsOnline;
  /** Called when an engine's room is known, or has changed. */
  readonly onChange: () => void;
  /** Items that this dispatcher runs at an engine. */
  readonly runsAt: (engine: EngineId) => number;
  readonly wire: RelayWire;
}

function hostOf(address: string): {readonly host: string; readonly port: number} {
  const colon = address.lastIndexOf(':');
  return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/** What an engine holds; null when it doesn't say. */
function askEngine({address}: EngineView, wire: RelayWire): Promise<null | number> {
  return new Promise((resolve) => {
    const req = get({agent: false, path: wire.occupancyPath, timeout: ASK_MS, ...hostOf(address)});
    const timer = setTimeout(() => req.destroy(), ASK_MS);
    req.on('response', (res) => {
      let text = '';
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString();
        if (text.length > MOST_BYTES) {
          req.destroy();
        }
      });
      res.on('end', () => resolve(wire.readOccupancy(text)));
      res.on('error', () => resolve(null));
    });
    req.on('error', () => resolve(null));
    req.on('close', () => {
      clearTimeout(timer);
      resolve(null);
    });
  });
}

/** See the module's comment. */
export class JobsSurvey {
  private readonly pending: Set<EngineId>;
  private sequence = 0;
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

  /** Asks no more. */
  stop(): void {
    this.stopped = true;
  }

  private async follow(engine: EngineView): Promise<void> {
    let unknown = Infinity;
    for (let asks = 0; asks < MOST_ASKS && !this.stopped; asks++) {
      const held = await askEngine(engine, this.options.wire);
      if (this.stopped) {
        return;
      }
      const seen = held === null ? 0 : Math.max(0, held - this.knownAt(engine.id));
      // Nobody adds to them, so what is seen later beyond that are requests whose sender has not told them yet.
      unknown = Math.min(unknown, seen);
      this.note(engine.id, unknown);
      if (unknown === 0) {
        return;
      }
      await delay(AGAIN_MS);
    }
  }

  private knownAt(id: EngineId): number {
    const {online, runsAt} = this.options;
    return (online.totals(UNKNOWN)[id] ?? 0) + runsAt(id);
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
    online.learn(UNKNOWN, ++this.sequence, {...this.unknown});
    onChange();
  }
}
