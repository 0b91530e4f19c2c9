/**
 * Counters and latency percentiles of a VM in the Prometheus text format.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

const MIN_LATENCY_US = 1;
const MAX_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;
const US_PER_MS = 1000;
const US_PER_S = 1_000_000;
const PERCENTILES = [50, 95, 99, 99.9] as const;

/** Creates a histogram of latencies in microseconds. */
export function createLatencyHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_LATENCY_US,
    lowestDiscernibleValue: MIN_LATENCY_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/**
 * Records a latency.
 *
 * @param histogram from {@link createLatencyHistogram}
 * @param ms latency in milliseconds
 */
export function recordMs(histogram: Histogram, ms: number): void {
  const us = Math.round(ms * US_PER_MS);
  histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(MIN_LATENCY_US, us)));
}

/** Collects a VM's metrics and exports them as text. */
export class GatewayMetrics {
  readonly firstByte = createLatencyHistogram();
  readonly queueWait = createLatencyHistogram();
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    help: 'Requests by route and outcome.',
    labelNames: ['route', 'code'] as const,
    name: 'stallpaddle_requests_total',
    registers: [this.registry],
  });

  private readonly retries = new Counter({
    help: 'Attempts after the first one.',
    name: 'stallpaddle_retries_total',
    registers: [this.registry],
  });

  constructor() {
    this.exposeHistogram(
      'stallpaddle_first_byte_seconds',
      'Time to the first byte.',
      this.firstByte,
    );
    this.exposeHistogram('stallpaddle_queue_wait_seconds', 'Time waited here.', this.queueWait);
  }

  /**
   * Counts a request that ended.
   *
   * @param route the route's name
   * @param code `ok` or the refusal's code
   */
  countRequest(route: string, code: string): void {
    this.requests.inc({code, route});
  }

  /**
   * Records how long a request waited for an engine.
   *
   * @param ms milliseconds
   */
  recordQueueWait(ms: number): void {
    recordMs(this.queueWait, ms);
  }

  /** Counts an attempt after the first one. */
  countRetry(): void {
    this.retries.inc();
  }

  /**
   * Adds a gauge that is read when metrics are collected.
   *
   * @param name the metric's name
   * @param help one sentence
   * @param read returns the current value
   */
  exposeGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      collect() {
        this.set(read());
      },
      help,
      name,
      registers: [this.registry],
    });
  }

  /** All metrics as text. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  /** Content type of {@link text}. */
  get contentType(): string {
    return this.registry.contentType;
  }

  private exposeHistogram(name: string, help: string, histogram: Histogram): void {
    new Gauge({
      collect() {
        for (const percentile of PERCENTILES) {
          const seconds = histogram.getValueAtPercentile(percentile) / US_PER_S;
          this.set({quantile: String(percentile / 100)}, seconds);
        }
      },
      help,
      labelNames: ['quantile'] as const,
      name,
      registers: [this.registry],
    });
  }
}
