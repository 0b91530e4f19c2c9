/** Metrics of the placement of batch items. */
import type {LogFields} from 'stallpaddle';
import type {ItemDecision, PackingStatus} from 'stallpaddle-jobs';

import type {NodeMetrics} from './NodeMetrics';

const SECOND_MS = 1_000;

/**
 * Adds the gauges. Values that are unknown are 0.
 *
 * @param metrics the process's metrics
 * @param read reads the placement's state; undefined while this process has no dispatcher
 */
export function exposePackingMetrics(
  metrics: NodeMetrics,
  read: () => PackingStatus | undefined,
): void {
  metrics.exposeGauge('stallpaddle_item_engines', 'Engines that run batch items.', () => {
    return read()?.packedEngines ?? 0;
  });
  metrics.exposeGauge('stallpaddle_reserved_slots', 'Slots that items leave free.', () => {
    return read()?.reservedSlots ?? 0;
  });
  metrics.exposeGauge('stallpaddle_burst_level', 'Online requests between bursts.', () => {
    return read()?.burst?.level ?? 0;
  });
  metrics.exposeGauge('stallpaddle_burst_height', 'Online requests in bursts.', () => {
    return read()?.burst?.height ?? 0;
  });
  metrics.exposeGauge('stallpaddle_burst_length_seconds', 'Length of bursts.', () => {
    return (read()?.burst?.lengthMs ?? 0) / SECOND_MS;
  });
  metrics.exposeGauge('stallpaddle_burst_period_seconds', 'Time from burst to burst.', () => {
    return (read()?.burst?.periodMs ?? 0) / SECOND_MS;
  });
}

/**
 * Counts a preemption by its cause, which is logged while items are packed.
 *
 * @param metrics the process's metrics
 * @param decision the logged decision
 * @param fields its fields
 */
export function countPreemption(
  metrics: NodeMetrics,
  decision: ItemDecision,
  {cause}: LogFields,
): void {
  if (decision === 'itemCut' && cause !== undefined) {
    const labels = {cause: String(cause)};
    metrics.count('stallpaddle_preemptions_total', 'Preempted runs of items by cause.', labels);
  }
}
