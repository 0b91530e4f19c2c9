import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

/**
 * Small fleets of real processes for tests; each test file takes a network of its own.
 */
import type {FleetLayout} from '../../FleetLayout';

import {Fleet} from '../../Fleet';
import {REGISTRY_LAYOUT} from '../../FleetLayout';

/** A fleet with its folder. */
export interface TestFleet {
  readonly fleet: Fleet;
  readonly stop: () => Promise<void>;
}

/**
 * A small layout: three VMs with a disk, one without, two engines, one plain service.
 *
 * @param network first three numbers of the loopback addresses
 * @param changes what is different
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
 * Starts a fleet in a new folder.
 *
 * @param layout what it is made of
 * @param standIns layout of the backend servers, where they listen elsewhere than the VMs think
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
