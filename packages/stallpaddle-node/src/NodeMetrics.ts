/** Counters, gauges and latencies of a process. */
import type {Histogram} from 'hdr-histogram-js';

/** Labels that distinguish the values of one metric. */
export type MetricLabels = Readonly<Record<string, string>>;

interface Count {
  readonly labels: MetricLabels;
  value: number;
}

interface Family<Value> {
  readonly help: string;
  readonly values: Value;
}

/** Latencies that are buffered before they are added to their histogram. */
const MAX_BUFFERED_LATENCIES = 4_096;
/** Histograms count in microseconds, from one microsecond to ten minutes. */
const LOWEST_US = 1;
const HIGHEST_US = 600_000_000;
const DIGITS = 3;
const US_PER_MS = 1_000;
const US_PER_S = 1_000_000;
const PERCENTILES = [50, 95, 99, 99.9] as const;

/** Reads the current value of a gauge. */
export type ReadGauge = () => number;

/** A gauge with a value for each value of a label. */
interface LabelledGauge {
  readonly label: string;
  readonly read: () => Readonly<Record<string, number>>;
}

class Latencies {
  private histogram: Histogram | undefined;
  private loading: Promise<void> | undefined;
  private buffered: number[] = [];

  add(ms: number): void {
    this.buffered.push(ms);
    if (this.buffered.length >= MAX_BUFFERED_LATENCIES) {
      void this.settle();
    }
  }

  /** The histogram, with all buffered latencies added. */
  async settle(): Promise<Histogram> {
    this.loading ??= this.load();
    await this.loading;
    const {buffered} = this;
    this.buffered = [];
    for (const ms of buffered) {
      const us = Math.round(ms * US_PER_MS);
      this.histogram!.recordValue(Math.min(HIGHEST_US, Math.max(LOWEST_US, us)));
    }
    return this.histogram!;
  }

  private async load(): Promise<void> {
    const {build} = await import('hdr-histogram-js');
    this.histogram = build({
      highestTrackableValue: HIGHEST_US,
      lowestDiscernibleValue: LOWEST_US,
      numberOfSignificantValueDigits: DIGITS,
    });
  }
}

function keyOf(labels: MetricLabels): string {
  return JSON.stringify(labels);
}

/**
 * Collects metrics and renders them in the Prometheus text format. The metrics libraries are loaded on first use, so that
 * they don't delay the start of the process.
 */
export class NodeMetrics {
  private readonly counters = new Map<string, Family<Map<string, Count>>>();
  private readonly gauges = new Map<string, Family<ReadGauge>>();
  private readonly labelled = new Map<string, Family<LabelledGauge>>();
  private readonly latencies = new Map<string, Family<Map<string, Latencies>>>();

  /**
   * Increments a counter.
   *
   * @param name the metric's name
   * @param help one sentence
   * @param labels labels with few distinct values
   */
  count(name: string, help: string, labels: MetricLabels): void {
    const family = this.counters.get(name) ?? {help, values: new Map<string, Count>()};
    this.counters.set(name, family);
    const key = keyOf(labels);
    const known = family.values.get(key) ?? {labels, value: 0};
    family.values.set(key, known);
    known.value++;
  }

  /**
   * Records a latency.
   *
   * @param name the metric's name, in seconds
   * @param help one sentence
   * @param kind value of the label `kind`
   * @param ms the latency, in milliseconds
   */
  addLatency(name: string, help: string, kind: string, ms: number): void {
    const family = this.latencies.get(name) ?? {help, values: new Map<string, Latencies>()};
    this.latencies.set(name, family);
    const known = family.values.get(kind) ?? new Latencies();
    family.values.set(kind, known);
    known.add(ms);
  }

  /**
   * Registers a gauge.
   *
   * @param name the metric's name
   * @param help one sentence
   * @param read reads its value whenever the metrics are rendered
   */
  exposeGauge(name: string, help: string, read: ReadGauge): void {
    this.gauges.set(name, {help, values: read});
  }

  /**
   * Registers a gauge with a label.
   *
   * @param name the metric's name
   * @param help one sentence
   * @param label the label, with few distinct values
   * @param read reads the values by label whenever the metrics are rendered
   */
  exposeGauges(name: string, help: string, label: string, read: LabelledGauge['read']): void {
    this.labelled.set(name, {help, values: {label, read}});
  }

  /** Renders all metrics. */
  async text(): Promise<string> {
    const {Counter, Gauge, Registry} = await import('prom-client');
    const registers = [new Registry()];
    for (const [name, {help, values}] of this.counters) {
      const labelNames = [
        ...new Set([...values.values()].flatMap(({labels}) => Object.keys(labels))),
      ];
      const counter = new Counter({help, labelNames, name, registers});
      values.forEach(({labels, value}) => counter.inc(labels, value));
    }
    for (const [name, {help, values}] of this.gauges) {
      new Gauge({help, name, registers}).set(values());
    }
    for (const [name, {help, values}] of this.labelled) {
      const gauge = new Gauge({help, labelNames: [values.label], name, registers});
      Object.entries(values.read()).forEach(([value, count]) => {
        gauge.set({[values.label]: value}, count);
      });
    }
    for (const [name, {help, values}] of this.latencies) {
      const gauge = new Gauge({help, labelNames: ['kind', 'quantile'], name, registers});
      for (const [kind, latencies] of values) {
        const histogram = await latencies.settle();
        for (const percentile of PERCENTILES) {
          const seconds = histogram.getValueAtPercentile(percentile) / US_PER_S;
          gauge.set({kind, quantile: String(percentile / 100)}, seconds);
        }
      }
    }
    return registers[0]!.metrics();
  }
}
