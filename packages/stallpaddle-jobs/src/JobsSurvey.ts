/** Survey of the requests that engines still run for an earlier dispatcher. */
import type {EngineId} from 'stallpaddle';
import type {EngineView} from 'stallpaddle-fleet';
import type {EngineControlRequest, EngineOccupancy, RelayWire} from 'stallpaddle-relay';

import {delay, type LogFields, openRequest} from 'stallpaddle';
import {mayContinue} from 'stallpaddle-fleet';
import {splitAddress} from 'stallpaddle-relay';

import type {JobsOnlineCounts} from './JobsOnlineCounts';

/** Timeout for a call to an engine, in milliseconds. */
const CALL_TIMEOUT_MS = 150;
/** Interval between queries to an engine that runs unreported requests, in milliseconds: about five events of a run. */
const QUERY_INTERVAL_MS = 150;
/** Maximum number of queries to one engine: in all about ten seconds, twice the duration of an item. */
const MAX_QUERIES = 60;
/** Maximum size of an answer, in bytes. */
const MAX_RESPONSE_BYTES = 65_536;

/** Interface between a survey and its dispatcher. */
export interface JobsSurveyOptions {
  readonly decide: (engine: EngineId, fields: LogFields) => void;
  readonly engines: readonly EngineView[];
  /** Whether a request is an open item that this dispatcher doesn't run on the engine. */
  readonly isAbandoned: (requestId: string, engine: EngineId) => boolean;
  /** Whether this process leads; otherwise a run that looks abandoned may belong to the next leader. */
  readonly isLeading: () => boolean;
  readonly online: JobsOnlineCounts;
  /** Called when an engine's free capacity becomes known or changes. */
  readonly onChange: () => void;
  /** Number of items that this dispatcher runs on an engine. */
  readonly runsAt: (engine: EngineId) => number;
  readonly wire: RelayWire;
}

/** Calls an engine; null when no answer came in time. */
function call(address: string, {body, method, path}: EngineControlRequest): Promise<null | string> {
  return new Promise((resolve) => {
    const headers = {'content-length': Buffer.byteLength(body), 'content-type': 'application/json'};
    const req = openRequest({agent: false, headers, method, path, ...splitAddress(address)});
    if (req instanceof Error) {
      resolve(null);
      return;
    }
    const timer = setTimeout(() => req.destroy(), CALL_TIMEOUT_MS);
    req.on('response', (res) => {
      let text = '';
      res.on('data', (chunk: Buffer) => {
        text += chunk.toString();
        if (text.length > MAX_RESPONSE_BYTES) {
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

/**
 * Queries every engine when a dispatcher begins to lead. After a power loss the connections of an earlier dispatcher
 * stay open, and engines go on with its runs. Requests beyond those reported by entry VMs and run by this dispatcher
 * occupy slots like online requests until they end; runs of open items among them are stopped, as nobody receives their
 * output.
 */
export class JobsSurvey {
  private readonly pending: Set<EngineId>;
  private stopped = false;
  private readonly unreported: Record<EngineId, number> = {};

  /**
   * Starts the survey.
   *
   * @param options services of the dispatcher
   */
  constructor(private readonly options: JobsSurveyOptions) {
    const {engines} = options;
    this.pending = new Set(engines.map(({id}) => id));
    engines.forEach((engine) => void this.surveyEngine(engine));
  }

  /**
   * Whether an engine has yet to answer for the first time.
   *
   * @param id the engine
   */
  isPending(id: EngineId): boolean {
    return this.pending.has(id);
  }

  /** Stops the survey and clears the counts of unreported requests. */
  stop(): void {
    this.stopped = true;
    this.options.online.setUnreported({});
  }

  private async surveyEngine(engine: EngineView): Promise<void> {
    let unreported = Infinity;
    for (let queries = 0; queries < MAX_QUERIES && !this.stopped; queries++) {
      const occupancy = await this.queryOccupancy(engine);
      if (this.stopped) {
        return;
      }
      const excess =
        occupancy === null ? 0 : Math.max(0, occupancy.total - this.knownAt(engine.id));
      // Abandoned requests only decrease; a higher count means new requests that their sender has not reported yet.
      unreported = Math.min(unreported, excess);
      this.setUnreported(engine.id, unreported);
      if (unreported === 0) {
        return;
      }
      await this.stopAbandoned(engine, occupancy?.running ?? []);
      await delay(QUERY_INTERVAL_MS);
    }
  }

  private async queryOccupancy({address}: EngineView): Promise<EngineOccupancy | null> {
    const {wire} = this.options;
    const text = await call(address, {body: '', method: 'GET', path: wire.occupancyPath});
    return text === null ? null : wire.readOccupancy(text);
  }

  private async stopAbandoned(engine: EngineView, running: readonly string[]): Promise<void> {
    const {engines, isAbandoned, isLeading} = this.options;
    if (!isLeading()) {
      return;
    }
    const others = engines.filter(
      ({id, service}) => id !== engine.id && service === engine.service,
    );
    // The state that the run has in memory fits only engines of the same software version.
    const other = others.find((one) => mayContinue(one, engine.softwareVersion)) ?? others[0];
    const abandoned = running.filter((id) => isAbandoned(id, engine.id));
    if (other !== undefined) {
      await Promise.all(abandoned.map((id) => this.stopRun(engine, id, other.address)));
    }
  }

  private async stopRun(engine: EngineView, id: string, other: string): Promise<void> {
    const {decide, wire} = this.options;
    const text = await call(engine.address, wire.stopRun(id, other));
    const remains = text === null ? null : wire.readRetainedState(text);
    decide(engine.id, {isStopped: remains !== null, left: id});
    if (remains !== null) {
      await call(engine.address, wire.releaseRetainedState(remains));
    }
  }

  private knownAt(id: EngineId): number {
    const {online, runsAt} = this.options;
    return (online.reported()[id] ?? 0) + runsAt(id);
  }

  private setUnreported(id: EngineId, unreported: number): void {
    const {decide, onChange, online} = this.options;
    if (unreported > 0 || this.unreported[id] !== undefined) {
      decide(id, {unknown: unreported});
    }
    if (unreported > 0) {
      this.unreported[id] = unreported;
    } else {
      delete this.unreported[id];
    }
    this.pending.delete(id);
    online.setUnreported({...this.unreported});
    onChange();
  }
}
