/** Size and utilization of this VM, and the distribution of callers by those of all VMs. */
import type {ServerResponse} from 'node:http';
import type {Clock, LogFields, ZoneId} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';

import {type VmCapacity, vmWeights} from 'stallpaddle-capacity';
import {type DisconnectReason, RelayHeldBytes} from 'stallpaddle-relay';

import type {NodeCurrentSettings} from './NodeCurrentSettings';
import type {NodeMetrics} from './NodeMetrics';
import type {NodeWatch} from './NodeWatch';

import {NodeAddresses} from './NodeAddresses';
import {NodeUtilization} from './NodeUtilization';

const BYTES_PER_MB = 1_000_000;
/** Part of the VM's memory that may be held for callers that read slowly. */
const HELD_PART_OF_MEMORY = 1 / 8;

/** Dependencies of {@link NodeCapacity}. */
export interface NodeCapacityOptions {
  readonly clock: Clock;
  readonly current: NodeCurrentSettings;
  /** Name of this VM. */
  readonly name: string;
  readonly note: (message: string, fields: LogFields) => void;
  /** Called before a caller that reads too slowly is disconnected. */
  readonly onDisconnect: (res: ServerResponse, reason: DisconnectReason, bytes: number) => void;
  /** Number of open descriptors. */
  readonly openDescriptors: () => number;
  readonly watch: Pick<NodeWatch, 'ageMs' | 'view'>;
}

/** What this VM reports of its capacity, and the entry VMs that its callers learn of. */
export class NodeCapacity {
  /** Bytes that are held for callers. */
  readonly held: RelayHeldBytes;
  private readonly addresses: NodeAddresses;
  private readonly utilization: NodeUtilization;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeCapacityOptions) {
    const {clock, current, note, onDisconnect, openDescriptors, watch} = options;
    this.held = new RelayHeldBytes({limitBytes: () => this.heldLimitBytes, onDisconnect});
    this.addresses = new NodeAddresses({
      clock,
      entries: () => watch.view.news.entries,
      isWeighted: () => this.isWeighted,
      random: Math.random,
      viewAgeMs: () => watch.ageMs,
    });
    this.utilization = new NodeUtilization({
      clock,
      held: () => this.held.fraction,
      note,
      openDescriptors,
      size: () => current.size,
    });
  }

  /** Measures what the next heartbeat reports. */
  report(): VmCapacity {
    const {size} = this.options.current;
    if (!this.isWeighted) {
      this.utilization.stop();
      return size;
    }
    const used = this.utilization.read();
    return used === undefined ? size : {...size, used};
  }

  /**
   * Selects the entry VMs for an answer to a caller.
   *
   * @param zone availability zone of the caller; null when it is unknown
   */
  sampleAddresses(zone: null | ZoneId): readonly EntryView[] {
    return this.addresses.sample(zone);
  }

  /**
   * Adds the gauges.
   *
   * @param metrics the process's metrics
   */
  exposeMetrics(metrics: NodeMetrics): void {
    metrics.exposeGauge('stallpaddle_vm_weight', 'Weight of this VM; 1 for the smallest.', () => {
      return this.weight;
    });
    metrics.exposeGauge('stallpaddle_bytes_held', 'Bytes held for slow callers.', () => {
      return this.held.bytes;
    });
    metrics.exposeGauge('stallpaddle_vm_used', 'Reported utilization of this VM.', () => {
      return this.utilization.used ?? 0;
    });
  }

  /** Bound on the bytes held for callers; undefined while it is off or the VM's memory is unknown. */
  private get heldLimitBytes(): number | undefined {
    const {current, watch} = this.options;
    const {memoryMb} = current.size;
    return memoryMb === undefined || memoryMb === 0 || !current.isHeldBounded(watch.view)
      ? undefined
      : memoryMb * BYTES_PER_MB * HELD_PART_OF_MEMORY;
  }

  private get isWeighted(): boolean {
    const {current, watch} = this.options;
    return current.isOn('vmWeights', watch.view);
  }

  private get weight(): number {
    const {entries} = this.options.watch.view.news;
    const at = entries.findIndex(({name}) => name === this.options.name);
    return this.isWeighted && at !== -1 ? vmWeights(entries)[at]! : 1;
  }
}
