/** Types shared by the processes of all roles. */
import type {Clock, LoggerFactory} from 'stallpaddle';

import type {NodeCurrentSettings} from './NodeCurrentSettings';
import type {NodeSettings} from './NodeSettings';
import type {NodeWire} from './NodeWire';

/** Dependencies of every process. */
export interface NodeOptions {
  readonly clock: Clock;
  /** Settings that a reload changes. */
  readonly current: NodeCurrentSettings;
  /** Creates the logger of each component. */
  readonly loggers: LoggerFactory;
  /** Ends the process after a fatal error. */
  readonly onFailure: (err: unknown) => void;
  /** Settings with which the process started. */
  readonly settings: NodeSettings;
  readonly wire: NodeWire;
}

/** A running process. */
export interface RunningNode {
  /** Applies changed settings. */
  readonly reload: (settings: NodeSettings) => void;
  /** Stops gracefully; resolves when the process may exit. */
  readonly stop: () => Promise<void>;
}
