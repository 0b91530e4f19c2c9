/**
 * Reports of entry VMs on their online requests.
 */
import type {JobsDispatcher, JobsRequest, OnlineCountsAnswer} from 'stallpaddle-jobs';

import {generateId} from 'stallpaddle';

type OnlineReport = Extract<JobsRequest, {kind: 'tellOnline'}>;

/**
 * Handles entry VMs' reports of their online requests while this process runs the batch items. Each report is answered with
 * the changes of the other VMs' counts since the sender's last report.
 */
export class NodeOnlineHandler {
  private readonly epoch = generateId('n');

  /**
   * Records a VM's counts.
   *
   * @param request the report
   * @param dispatcher runs the batch items
   */
  record(request: OnlineReport, dispatcher: JobsDispatcher): void {
    const {own, sender, sequence} = request;
    const {fleetLoad, online} = dispatcher;
    const isNewer = online.isNewer(sender, sequence);
    dispatcher.updateOnlineCounts(sender, sequence, own);
    // Demand that was overtaken by a later report is out of date; speeds are numbered by themselves.
    fleetLoad.update(sender, isNewer ? request : {...request, demand: undefined});
  }

  /**
   * Records a VM's counts, and returns those of the others.
   *
   * @param request the report
   * @param dispatcher runs the batch items
   */
  exchange(request: OnlineReport, dispatcher: JobsDispatcher): OnlineCountsAnswer {
    this.record(request, dispatcher);
    const {known, sender} = request;
    const {fleetLoad, online} = dispatcher;
    const knownHere = known?.epoch === this.epoch ? known : null;
    const since = knownHere?.changes ?? null;
    const {version, ...details} = fleetLoad.answer(knownHere);
    return {
      ...details,
      isAll: since === null,
      others:
        since === null
          ? online.totals(sender)
          : online.othersAt(online.changedSince(since), sender),
      spacingMs: dispatcher.reportSpacingMs,
      suspects: dispatcher.stalledEngines(),
      version: {...version, changes: online.version, epoch: this.epoch},
    };
  }
}
