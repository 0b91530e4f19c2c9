/**
 * Starts the process that the settings describe.
 */

import type {LoggerFactory} from 'stallpaddle';

import {systemClock, unreachable} from 'stallpaddle';

import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';
import type {NodeWire} from './NodeWire';

import {NodeFront} from './NodeFront';
import {NodeStore} from './NodeStore';

/**
 * Starts a process.
 *
 * @param settings what it is to be
 * @param wire the words of the outside
 * @param loggers makes the logs of its parts
 * @param onFailure called once when it can't go on
 */
export function startNode(
  settings: NodeSettings,
  wire: NodeWire,
  loggers: LoggerFactory,
  onFailure: (err: unknown) => void,
): Promise<RunningNode> {
  const options: NodeOptions = {clock: systemClock, loggers, onFailure, settings, wire};
  switch (settings.role) {
    case 'front':
      return NodeFront.start(options);
    case 'store':
      return NodeStore.start(options);
    default:
      return unreachable(settings.role);
  }
}
