/** Measurement of this VM's utilization. */
import type {Clock, LogFields, MonotonicMs} from 'stallpaddle';

import {
  type ReportedUse,
  reportUse,
  usedFraction,
  type VmMeasurements,
  type VmSize,
} from 'stallpaddle-capacity';

import {SECOND_MS} from './NodeConstants';
import {NodeLoopMonitor} from './NodeLoopMonitor';

const BYTES_PER_MB = 1_000_000;
/** Weight of the last second in the averages; single slow seconds shall not change what is reported. */
const NEW_WEIGHT = 1 / 3;

/** Dependencies of {@link NodeUtilization}. */
export interface NodeUtilizationOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /** Bytes held for callers as a fraction of their bound; undefined without a bound. */
  readonly held: () => number | undefined;
  readonly loop?: Pick<NodeLoopMonitor, 'isStarted' | 'start' | 'stop' | 'take'>;
  readonly note: (message: string, fields: LogFields) => void;
  /** Number of open descriptors. */
  readonly openDescriptors: () => number;
  /** Memory of the process, in bytes. */
  readonly rssBytes?: () => number;
  readonly size: () => VmSize;
}

function fractionOf(value: number, of: number | undefined): number | undefined {
  return of === undefined || of <= 0 ? undefined : value / of;
}

/** Measurements as they are logged, in steps of 0.01. */
function rounded({busy, delayMs, held, memory, open}: VmMeasurements): LogFields {
  const round = (value: number | undefined): number | undefined =>
    value === undefined ? undefined : Math.round(value * 100) / 100;
  return {
    busy: round(busy),
    delayMs: Math.round(delayMs),
    held: round(held),
    memory: round(memory),
    open: round(open),
  };
}

/**
 * Measures how much of the VM is in use. It measures only while it is read, at most once per second; the monitor of the
 * event loop is its only timer.
 */
export class NodeUtilization {
  private busy = 0;
  private delayMs = 0;
  private readonly loop: NonNullable<NodeUtilizationOptions['loop']>;
  private measuredAt: MonotonicMs | undefined;
  private reported: ReportedUse | undefined;

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeUtilizationOptions) {
    this.loop = options.loop ?? new NodeLoopMonitor();
  }

  /** The utilization that was read last; undefined before the first. */
  get used(): number | undefined {
    return this.reported?.used;
  }

  /** Reads the utilization: 0 to 1, in steps of 0.1; undefined in the first second. */
  read(): number | undefined {
    const now = this.options.clock.monotonicMs();
    if (!this.loop.isStarted || this.measuredAt === undefined) {
      this.start(now);
    } else if (now - this.measuredAt >= SECOND_MS) {
      this.measuredAt = now;
      this.report(this.measure(), now);
    }
    return this.used;
  }

  /** Stops measuring. */
  stop(): void {
    this.loop.stop();
    this.reported = undefined;
  }

  private start(now: MonotonicMs): void {
    this.loop.start();
    this.measuredAt = now;
    this.busy = 0;
    this.delayMs = 0;
  }

  private measure(): VmMeasurements {
    const {held, openDescriptors, rssBytes = () => process.memoryUsage.rss(), size} = this.options;
    const {descriptors, memoryMb} = size();
    const {busy, delayMs} = this.loop.take();
    this.busy += (busy - this.busy) * NEW_WEIGHT;
    this.delayMs += (delayMs - this.delayMs) * NEW_WEIGHT;
    return {
      busy: this.busy,
      delayMs: this.delayMs,
      held: held(),
      memory: fractionOf(rssBytes(), memoryMb === undefined ? undefined : memoryMb * BYTES_PER_MB),
      open: fractionOf(openDescriptors(), descriptors),
    };
  }

  private report(measurements: VmMeasurements, now: MonotonicMs): void {
    const before = this.reported;
    this.reported = reportUse(before, usedFraction(measurements), now);
    if (this.reported !== before) {
      this.options.note('The reported utilization of this VM has changed.', {
        before: before?.used,
        used: this.reported.used,
        ...rounded(measurements),
      });
    }
  }
}
