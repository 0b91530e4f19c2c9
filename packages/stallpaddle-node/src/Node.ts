import type {LoggerFactory} from 'stallpaddle';

import {systemClock, unreachable} from 'stallpaddle';

/**
 * Starts the process that the settings describe.
 */
import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';
import type {NodeWire} from './NodeWire';

import {NodeControl} from './NodeControl';
import {NodeEntry} from './NodeEntry';
import {NodeStore} from './NodeStore';

/**
 * Starts a process.
 *
 * @param settings what it is to be
 * @param wire the words of the outside
 * @param loggers makes its log
 * @param onFailure called once when it can't go on
 */
export function startNode(
  settings: NodeSettings,
  wire: NodeWire,
  loggers: LoggerFactory,
  onFailure: (err: unknown) => void,
): Promise<RunningNode> {
  const logger = loggers(settings.role);
  const options: NodeOptions = {clock: systemClock, logger, onFailure, settings, wire};
  switch (settings.role) {
    case 'control':
      return NodeControl.start(options);
    case 'entry':
      return NodeEntry.start(options);
    case 'store':
      return NodeStore.start(options);
    default:
      return unreachable(settings.role);
  }
}
