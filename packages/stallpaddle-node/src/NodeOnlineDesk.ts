/**
 * Answers entry VMs that tell their online requests, while this process runs the batch items: each word is answered
 * with what has changed of the others' counts since the VM's last one. So a VM learns with each
 * request that it begins, and one that serves nobody costs one word a second.
 */
import type {EngineId} from 'stallpaddle';
import type {JobsDispatcher, JobsRequest, OnlineAnswer} from 'stallpaddle-jobs';

import {generateId} from 'stallpaddle';

type Tell = Extract<JobsRequest, {kind: 'tellOnline'}>;

/** Counts of some engines, 0 for those without any. */
function countsOf(
  engines: readonly EngineId[],
  totals: Readonly<Record<EngineId, number>>,
): Record<EngineId, number> {
  return Object.fromEntries(engines.map((engine) => [engine, totals[engine] ?? 0]));
}

/** See the module's comment. */
export class NodeOnlineDesk {
  private readonly epoch = generateId('n');

  /**
   * Takes in a VM's counts, and tells it those of the others.
   *
   * @param request its words
   * @param dispatcher runs the items
   */
  tell({known, own, sender, sequence}: Tell, dispatcher: JobsDispatcher): OnlineAnswer {
    dispatcher.learnOnline(sender, sequence, own);
    const {online} = dispatcher;
    const since = known?.epoch === this.epoch ? known.changes : null;
    const totals = online.totals(sender);
    return {
      isAll: since === null,
      others: since === null ? totals : countsOf(online.changedSince(since), totals),
      suspects: dispatcher.silentEngines(),
      version: {changes: online.version, epoch: this.epoch},
    };
  }
}
