/**
 * Metrics of a process that serves callers.
 */
import type {LogFields} from 'stallpaddle';
import type {RelayLatencies, RelayOnlineLoad} from 'stallpaddle-relay';

import type {NodeIntake} from './NodeIntake';
import type {NodeMetrics} from './NodeMetrics';
import type {NodeWatch} from './NodeWatch';

import {SECOND_MS} from './NodeConstants';

/** What the gauges read. */
export interface EntryGauges {
  readonly intake: NodeIntake;
  /** Online requests of this VM at each engine. */
  readonly online: RelayOnlineLoad;
  /** How fast engines are, as this VM has seen it. */
  readonly pace: RelayLatencies;
  readonly watch: NodeWatch;
}

/** Online requests for each slot of all engines. */
function occupancy({online, watch}: EntryGauges): number {
  const {engines} = watch.view.news;
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  const requests = engines.reduce((sum, {id}) => sum + online.requestsAt(id), 0);
  return slots === 0 ? 0 : requests / slots;
}

/**
 * Adds the gauges.
 *
 * @param metrics the process's metrics
 * @param gauges what they read
 */
export function exposeEntryMetrics(metrics: NodeMetrics, gauges: EntryGauges): void {
  const {intake, pace, watch} = gauges;
  metrics.exposeGauge('stallpaddle_config_version', 'Version in force here.', () => {
    return watch.view.config?.version ?? 0;
  });
  watch.exposeMetrics(metrics);
  metrics.exposeGauge('stallpaddle_requests_open', 'Requests under way.', () => {
    return intake.openRequests;
  });
  metrics.exposeGauge('stallpaddle_engines_silent', 'Engines that report no more.', () => {
    return watch.view.news.engines.filter(({silent}) => silent).length;
  });
  const limits = [
    ['connect', 'a connection', pace.connect],
    ['first_event', 'a first event', pace.firstEvent],
    ['pause', 'the next event', pace.gap],
  ] as const;
  for (const [name, what, limit] of limits) {
    const help = `Learned limit of the wait for ${what}.`;
    metrics.exposeGauge(
      `stallpaddle_${name}_limit_seconds`,
      help,
      () => limit.timeoutMs / SECOND_MS,
    );
  }
  metrics.exposeGauge('stallpaddle_engine_occupancy', 'Online requests for each slot.', () => {
    return occupancy(gauges);
  });
}

/**
 * Counts a request that has ended.
 *
 * @param metrics the process's metrics
 * @param fields what the relay's decision `ended` tells of it
 */
export function countEnd(metrics: NodeMetrics, {end, firstMs, kind, verdict}: LogFields): void {
  const labels = {end: String(end), kind: String(kind), verdict: String(verdict)};
  metrics.count('stallpaddle_requests_total', 'Requests by how they ended.', labels);
  if (typeof firstMs === 'number') {
    const help = 'Time to the first event or byte.';
    metrics.addLatency('stallpaddle_first_event_seconds', help, String(kind), firstMs);
  }
}
