/** Starts the process for the role in the settings. */

import type {LoggerFactory} from 'stallpaddle';

import {systemClock, unreachable} from 'stallpaddle';

import type {NodeSettings} from './NodeSettings';
import type {NodeOptions, RunningNode} from './NodeTypes';
import type {NodeWire} from './NodeWire';

import {NodeCurrentSettings} from './NodeCurrentSettings';
import {NodeFront} from './NodeFront';
import {NodeStore} from './NodeStore';

/**
 * Starts a process.
 *
 * @param settings the process's settings
 * @param wire codec of the external protocol
 * @param loggers creates the loggers of the components
 * @param onFailure called on a fatal error
 */
export function startNode(
  settings: NodeSettings,
  wire: NodeWire,
  loggers: LoggerFactory,
  onFailure: (err: unknown) => void,
): Promise<RunningNode> {
  const current = new NodeCurrentSettings(settings);
  const options: NodeOptions = {clock: systemClock, current, loggers, onFailure, settings, wire};
  switch (settings.role) {
    case 'front':
      return NodeFront.start(options);
    case 'store':
      return NodeStore.start(options);
    default:
      return unreachable(settings.role);
  }
}
