/**
 * What all processes of a fleet have in common.
 */
import type {Clock, LoggerFactory} from 'stallpaddle';

import type {NodeSettings} from './NodeSettings';
import type {NodeWire} from './NodeWire';

/** What every process is made of. */
export interface NodeOptions {
  readonly clock: Clock;
  /** Makes the log of each part of the process. */
  readonly loggers: LoggerFactory;
  /** Ends the process after a failure that it can't go on with. */
  readonly onFailure: (err: unknown) => void;
  readonly settings: NodeSettings;
  readonly wire: NodeWire;
}

/** A running process. */
export interface RunningNode {
  /** Takes in settings that have changed. */
  readonly reload: (settings: NodeSettings) => void;
  /** Stops as planned; resolves when the process may end. */
  readonly stop: () => Promise<void>;
}
