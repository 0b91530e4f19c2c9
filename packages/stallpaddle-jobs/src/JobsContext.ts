/** Interface between the batch dispatcher and its process. */
import type {Clock, EngineId, LogFields} from 'stallpaddle';
import type {Feature, FleetView} from 'stallpaddle-fleet';
import type {EngineIncarnation, RelaySuspects, RelayWire} from 'stallpaddle-relay';
import type {Leadership} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

import type {JobsChange, JobsState} from './JobsTypes';

/** Names of the decisions that the dispatcher logs. */
export type ItemDecision =
  | 'dispatchBegan'
  | 'dispatchEnded'
  /** Numbers of open items by what they wait for. */
  | 'dispatchLoad'
  | 'engineSpeedChanged'
  | 'engineSurveyed'
  | 'itemCut'
  | 'itemEnded'
  | 'itemHeld'
  | 'itemTried'
  | 'itemPlaced'
  /** An item begins anew at another software version. */
  | 'itemRestarted'
  | 'itemReturned'
  | 'progressNotSaved'
  | 'tickFailed';

/** Services that the process provides to the dispatcher. */
export interface JobsDispatcherOptions {
  readonly clock: Clock;
  /** Logs a decision; the item id is empty when the decision concerns no single item. */
  readonly decide: (decision: ItemDecision, itemId: string, fields: LogFields) => void;
  /** Whether an optional feature is on. */
  readonly isOn: (feature: Feature) => boolean;
  /** This process's role in the replication group. */
  readonly leadership: () => Leadership;
  /** Called with each gap between events of a run, in milliseconds, except the first one. */
  readonly onEventGap?: (engine: EngineIncarnation, ms: number) => void;
  /** Replicates a change; rejects when the outcome is unknown. */
  readonly propose: (change: JobsChange) => Promise<unknown>;
  /** Reads a request body or a part of an output. */
  readonly readBlob: (ref: BlobRef) => Promise<Uint8Array>;
  /** Speed of an engine as a factor of its service's median; 1 for all engines if it is left out. */
  readonly speedOf?: (engine: EngineId) => number;
  readonly state: () => JobsState;
  readonly suspects: RelaySuspects;
  readonly view: () => FleetView;
  readonly wire: RelayWire;
}
