/** Metrics of a process that serves callers. */
import type {LogFields} from 'stallpaddle';
import type {RelayAdmission, RelayLatencies, RelayOnlineLoad} from 'stallpaddle-relay';

import type {NodeDrainState} from './NodeDrainState';
import type {NodeMetrics} from './NodeMetrics';
import type {NodeWatch} from './NodeWatch';

import {SECOND_MS} from './NodeConstants';

/** Sources of the gauges. */
export interface EntryGauges {
  /** Queues of requests that wait for a slot. */
  readonly admission: RelayAdmission;
  readonly drainState: NodeDrainState;
  /** Counts this VM's online requests at each engine. */
  readonly online: RelayOnlineLoad;
  /** Learned limits on the engines' response times. */
  readonly latencies: RelayLatencies;
  /** Number of streams whose software this VM remembers. */
  readonly streamRecords: () => number;
  readonly watch: NodeWatch;
}

/** Online requests per engine slot. */
function occupancy({online, watch}: EntryGauges): number {
  const {engines} = watch.view.news;
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  const requests = engines.reduce((sum, {id}) => sum + online.requestsAt(id), 0);
  return slots === 0 ? 0 : requests / slots;
}

/** Number of engines that still report, by service and software version. */
function enginesByVersion({watch}: EntryGauges): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {service, silent, softwareVersion} of watch.view.news.engines) {
    const name = `${service}@${softwareVersion}`;
    counts.set(name, (counts.get(name) ?? 0) + (silent ? 0 : 1));
  }
  return counts;
}

/**
 * Adds the gauges.
 *
 * @param metrics the process's metrics
 * @param gauges their sources
 */
export function exposeEntryMetrics(metrics: NodeMetrics, gauges: EntryGauges): void {
  const {admission, drainState, latencies, watch} = gauges;
  metrics.exposeGauge('stallpaddle_config_version', 'Version in force here.', () => {
    return watch.view.config?.version ?? 0;
  });
  watch.exposeMetrics(metrics);
  metrics.exposeGauge('stallpaddle_requests_open', 'Requests under way.', () => {
    return drainState.openRequests;
  });
  metrics.exposeGauge('stallpaddle_engines_silent', 'Engines that report no more.', () => {
    return watch.view.news.engines.filter(({silent}) => silent).length;
  });
  const versionsHelp = 'Engines that report, by service and software version.';
  metrics.exposeLabelledGauge('stallpaddle_engines', versionsHelp, 'service_version', () =>
    enginesByVersion(gauges),
  );
  const recordsHelp = 'Streams whose software version is remembered here.';
  metrics.exposeGauge('stallpaddle_stream_records', recordsHelp, gauges.streamRecords);
  metrics.exposeGauge('stallpaddle_admission_waiting', 'Requests that wait for a slot.', () => {
    return admission.length;
  });
  const expectedHelp = 'Expected wait of the latest request that found no slot.';
  metrics.exposeGauge('stallpaddle_admission_expected_seconds', expectedHelp, () => {
    return admission.expectedMs / SECOND_MS;
  });
  const limits = [
    ['connect', 'a connection', latencies.connect],
    ['first_event', 'a first event', latencies.firstEvent],
    ['pause', 'the next event', latencies.gap],
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
 * @param fields log fields of the relay's decision `ended`
 */
export function countEnd(metrics: NodeMetrics, {end, firstMs, kind, verdict}: LogFields): void {
  const labels = {end: String(end), kind: String(kind), verdict: String(verdict)};
  metrics.count('stallpaddle_requests_total', 'Requests by how they ended.', labels);
  if (typeof firstMs === 'number') {
    const help = 'Time to the first event or byte.';
    metrics.addLatency('stallpaddle_first_event_seconds', help, String(kind), firstMs);
  }
}

/**
 * Counts a stream that can't go on for its software version.
 *
 * @param metrics the process's metrics
 * @param fields log fields of the relay's decision `notResumed`
 */
export function countNotResumed(
  metrics: NodeMetrics,
  {reason, service = '', softwareVersion = ''}: LogFields,
): void {
  const help = 'Streams that can’t go on for their software version.';
  const labels = {reason, service, version: softwareVersion};
  const texts = Object.entries(labels).map(([name, value]) => [name, String(value)] as const);
  metrics.count('stallpaddle_streams_not_resumed_total', help, Object.fromEntries(texts));
}

/**
 * Counts a wait for a slot that has ended, or a rejection.
 *
 * @param metrics the process's metrics
 * @param fields log fields of the relay's decisions `waited` and `rejected`
 */
export function countWait(metrics: NodeMetrics, {end, reason, waitedMs}: LogFields): void {
  const result = String(end ?? reason);
  const totalHelp = 'Waits for a slot and rejections by how they ended.';
  metrics.count('stallpaddle_admission_total', totalHelp, {result});
  if (typeof waitedMs === 'number') {
    const help = 'Time from arrival until a wait for a slot ended.';
    metrics.addLatency('stallpaddle_admission_wait_seconds', help, result, waitedMs);
  }
}
