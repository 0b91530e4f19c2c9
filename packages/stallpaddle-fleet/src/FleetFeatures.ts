/**
 * Optional features of a fleet, and when they are on.
 */
import {haveUnequalSizes} from 'stallpaddle-capacity';

import type {EntryView, FleetStatus, FleetView} from './FleetView';

/** Features that can be switched. */
export const FEATURES = [
  'admission',
  'batchPacking',
  'engineSpeeds',
  'fairShares',
  'vmWeights',
] as const;

/** Name of a feature. */
export type Feature = (typeof FEATURES)[number];

/** Switch of a feature; `auto` is on where the fleet's configuration or its VMs call for it. */
export type FeatureSwitch = 'auto' | 'off' | 'on';

/** Switches of the features; `auto` where none is set. */
export type FeatureSwitches = Readonly<Partial<Record<Feature, FeatureSwitch>>>;

/** Whether the entry VMs of a status have unequal sizes; statuses are immutable, so the result is kept with them. */
const unequal = new WeakMap<readonly EntryView[], boolean>();

function hasUnequalVms({entries}: FleetStatus): boolean {
  const known = unequal.get(entries) ?? haveUnequalSizes(entries);
  unequal.set(entries, known);
  return known;
}

/**
 * Whether a feature is on. Fair shares need customers, weights of VMs need VMs of unequal size; `auto` turns the other
 * features on where one of these is present, so that all other fleets work as without them.
 *
 * @param feature the feature
 * @param switches the switches of the process's settings
 * @param view what the process knows of its fleet
 */
export function isFeatureOn(
  feature: Feature,
  switches: FeatureSwitches,
  view: Pick<FleetView, 'config' | 'news'>,
): boolean {
  const setting = switches[feature] ?? 'auto';
  if (setting === 'off') {
    return false;
  }
  const hasCustomers = view.config?.customers !== undefined;
  switch (feature) {
    case 'fairShares':
      return hasCustomers;
    case 'vmWeights':
      return hasUnequalVms(view.news);
    case 'admission':
    case 'batchPacking':
    case 'engineSpeeds':
      return setting === 'on' || hasCustomers || hasUnequalVms(view.news);
  }
}
