import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

/**
 * Starts small fleets of processes for tests. Each test uses a loopback network of its own.
 */
import type {FleetLayout} from '../../FleetLayout';

import {Fleet} from '../../Fleet';
import {REGISTRY_LAYOUT} from '../../FleetLayout';

/** A started fleet. `stop` also deletes its folder. */
export interface TestFleet {
  readonly fleet: Fleet;
  readonly stop: () => Promise<void>;
}

/**
 * Returns a layout of three VMs with a disk, one without, two engines and one plain service.
 *
 * @param network first three numbers of the loopback addresses
 * @param changes fields to override
 */
export function smallLayout(network: string, changes: Partial<FleetLayout> = {}): FleetLayout {
  return {
    ...REGISTRY_LAYOUT,
    engines: 2,
    folder: 'data',
    network,
    standIn: {tokenMs: 2},
    vms: 4,
    ...changes,
  };
}

/**
 * Starts a fleet in a new temporary folder.
 *
 * @param layout layout of the fleet
 * @param standIns layout of the stand-ins, if they listen on other addresses than the VMs connect to
 */
export async function startFleet(
  layout: FleetLayout,
  standIns: FleetLayout = layout,
): Promise<TestFleet> {
  const folder = mkdtempSync(path.join(tmpdir(), 'stallpaddle-test-'));
  const fleet = new Fleet(layout, folder, standIns);
  const stop = async (): Promise<void> => {
    await fleet.stop();
    rmSync(folder, {force: true, recursive: true});
  };
  try {
    await fleet.start();
  } catch (err) {
    await stop();
    throw err;
  }
  return {fleet, stop};
}
