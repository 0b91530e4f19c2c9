/** Settings that a running process applies again when they change. */
import type {VmSize} from 'stallpaddle-capacity';

import {type Feature, type FleetView, isFeatureOn} from 'stallpaddle-fleet';

import {type NodeSettings, vmSize} from './NodeSettings';

/** Holds the size of the VM and the switches of features, as the settings file names them at the moment. */
export class NodeCurrentSettings {
  private features: NodeSettings['features'];
  private vm: VmSize;

  /**
   * @param initial the settings with which the process started
   */
  constructor(private readonly initial: NodeSettings) {
    this.features = initial.features;
    this.vm = vmSize(initial);
  }

  /** Size of the VM; fields that the settings don't name are absent. */
  get size(): VmSize {
    return this.vm;
  }

  /**
   * Applies changed settings.
   *
   * @param settings the new settings, of which only the size and the switches of features are applied
   */
  apply({features, size}: NodeSettings): void {
    this.features = features;
    // Whether the VM has a disk can't change while the process runs.
    this.vm = vmSize({...this.initial, size});
  }

  /**
   * Whether the bytes held for callers are bounded. The bound belongs to the weights of VMs, but needs no unequal sizes.
   *
   * @param view what the process knows of its fleet
   */
  isHeldBounded(view: Pick<FleetView, 'config' | 'news'>): boolean {
    const setting = this.features?.vmWeights ?? 'auto';
    const isNeeded = view.config?.customers !== undefined || this.isOn('vmWeights', view);
    return setting === 'on' || (setting === 'auto' && isNeeded);
  }

  /**
   * Whether a feature is on.
   *
   * @param feature the feature
   * @param view what the process knows of its fleet
   */
  isOn(feature: Feature, view: Pick<FleetView, 'config' | 'news'>): boolean {
    return isFeatureOn(feature, this.features ?? {}, view);
  }
}
