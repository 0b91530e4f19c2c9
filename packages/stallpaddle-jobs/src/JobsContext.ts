/**
 * What the dispatcher of batch items needs of its process.
 */
import type {Clock, LogFields} from 'stallpaddle';
import type {FleetView} from 'stallpaddle-fleet';
import type {RelaySuspects, RelayWire} from 'stallpaddle-relay';
import type {Leadership} from 'stallpaddle-replication';
import type {BlobRef} from 'stallpaddle-storage';

import type {JobsChange, JobsState} from './JobsTypes';

/** Decisions on items. */
export type ItemDecision =
  | 'dispatchBegan'
  | 'dispatchEnded'
  | 'engineSurveyed'
  | 'itemCut'
  | 'itemEnded'
  | 'itemHeld'
  | 'itemPlaced'
  | 'itemReturned'
  | 'progressNotSaved'
  | 'tickFailed';

/** See the module's comment. */
export interface JobsDispatcherOptions {
  readonly clock: Clock;
  /** Writes one line for a decision; the name is empty for one on no single item. */
  readonly decide: (decision: ItemDecision, itemId: string, fields: LogFields) => void;
  /** What this process may do for the group. */
  readonly leadership: () => Leadership;
  /** Records a change; rejects when it may not have been recorded. */
  readonly propose: (change: JobsChange) => Promise<unknown>;
  /** Reads a body or a part of an output. */
  readonly readBlob: (ref: BlobRef) => Promise<Uint8Array>;
  readonly state: () => JobsState;
  readonly suspects: RelaySuspects;
  readonly view: () => FleetView;
  readonly wire: RelayWire;
}
