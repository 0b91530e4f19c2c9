/** Inputs of the placement and preemption of packed items, for logs and metrics. */
import type {EngineId, LogFields} from 'stallpaddle';
import type {BurstEstimate} from 'stallpaddle-capacity';

import type {ItemDecision, JobsDispatcherOptions} from './JobsContext';
import type {EngineSlots} from './JobsEngineTracker';

/** Why a run is preempted. */
export type PreemptionCause =
  /** Online requests need its slot. */
  | 'online'
  /** Its engine has restarted and lost it. */
  | 'restart'
  /** Its engine is set apart, and others have free slots. */
  | 'setApart'
  /** It is late, and another item can still be on time. */
  | 'urgent';

/** State of the placement, for metrics. */
export interface PackingStatus {
  /** Bursts of the largest service; null while none are known. */
  readonly burst: BurstEstimate | null;
  /** Engines that run items. */
  readonly packedEngines: number;
  /** Slots that items leave free, over all services. */
  readonly reservedSlots: number;
}

/** Dependencies on the dispatcher. */
export interface JobsPackingLogOptions extends Pick<JobsDispatcherOptions, 'decide' | 'isOn'> {
  /** Use of the slots of an engine; undefined if it is unknown. */
  readonly slotsAt: (engine: EngineId) => Omit<EngineSlots, 'usable'> | undefined;
  readonly reserved: () => ReadonlyMap<string, number>;
}

/** Adds the inputs of decisions to their log lines while items are packed. */
export class JobsPackingLog {
  private cause: PreemptionCause | undefined;

  /**
   * @param options dependencies on the dispatcher
   */
  constructor(private readonly options: JobsPackingLogOptions) {}

  /**
   * Logs a decision.
   *
   * @param decision the decision
   * @param itemId the item; empty when the decision concerns no single item
   * @param fields its fields
   */
  decide(decision: ItemDecision, itemId: string, fields: LogFields): void {
    const {decide, isOn} = this.options;
    const isPlacement = decision === 'itemPlaced' || decision === 'itemCut';
    const inputs =
      isPlacement && isOn('batchPacking') ? this.inputsOf(decision, String(fields.engine)) : {};
    decide(decision, itemId, {...fields, ...inputs});
  }

  /**
   * Names the cause of the preemptions that a step logs.
   *
   * @param cause the cause
   * @param step preempts runs, without awaiting anything
   */
  withCause(cause: PreemptionCause, step: () => void): void {
    this.cause = cause;
    try {
      step();
    } finally {
      this.cause = undefined;
    }
  }

  private inputsOf(decision: ItemDecision, engine: EngineId): LogFields {
    const at = this.options.slotsAt(engine);
    return {
      cause: decision === 'itemCut' ? this.cause : undefined,
      items: at?.items,
      online: at?.online,
      reserved: at === undefined ? undefined : (this.options.reserved().get(at.service) ?? 0),
      slots: at?.slots,
      speed: at?.speed,
    };
  }
}
