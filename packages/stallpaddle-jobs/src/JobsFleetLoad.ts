/**
 * Dispatcher's side of the load reports for optional features: what entry VMs tell beside their counts, and what they
 * are told in return.
 */
import type {EngineId} from 'stallpaddle';
import type {RoomReport} from 'stallpaddle-admission';
import type {Feature} from 'stallpaddle-fleet';

import type {OnlineAnswerDetails, OnlineCountsVersion, OnlineReportDetails} from './JobsQueries';

import {JobsItemCounts} from './JobsItemCounts';
import {JobsShares} from './JobsShares';
import {JobsSpeeds} from './JobsSpeeds';

/** Dependencies on the dispatcher. */
export interface JobsFleetLoadOptions {
  readonly isOn: (feature: Feature) => boolean;
  /** Free capacity of all engines; undefined while it is unknown. */
  readonly room: () => RoomReport | undefined;
  /** Runs of batch items by engine. */
  readonly runs: () => ReadonlyMap<EngineId, number>;
}

/** Versions of what an entry VM was told last. */
type DetailVersions = Pick<OnlineCountsVersion, 'items' | 'speeds'>;

/** Collects what the features need of entry VMs' reports, and builds the details of the answers. */
export class JobsFleetLoad {
  readonly items = new JobsItemCounts();
  readonly shares = new JobsShares();
  readonly speeds = new JobsSpeeds();

  /**
   * @param options dependencies on the dispatcher
   */
  constructor(private readonly options: JobsFleetLoadOptions) {}

  /**
   * Applies an entry VM's report.
   *
   * @param sender the reporting process
   * @param details what it tells beside its counts
   */
  update(sender: string, {demand, speeds, speedsNumber}: OnlineReportDetails): void {
    if (demand !== undefined) {
      this.shares.update(sender, demand);
    }
    if (speeds !== undefined) {
      this.speeds.observe({number: speedsNumber, samples: speeds, sender});
    }
  }

  /**
   * Builds the details of an answer.
   *
   * @param known versions that the receiver has; null if it has none
   */
  answer(known: DetailVersions | null): OnlineAnswerDetails & {readonly version: DetailVersions} {
    const {isOn, room, runs} = this.options;
    const details: {-readonly [Key in keyof OnlineAnswerDetails]: OnlineAnswerDetails[Key]} = {};
    const version: {-readonly [Key in keyof DetailVersions]: number} = {};
    if (isOn('batchPacking')) {
      this.items.replace(runs());
      details.items = this.items.since(known?.items ?? null);
      version.items = this.items.version;
    }
    if (isOn('engineSpeeds')) {
      details.speeds = this.speeds.since(known?.speeds ?? null);
      version.speeds = this.speeds.version;
    }
    if (isOn('admission') || isOn('fairShares')) {
      const free = room();
      details.room = free === undefined ? undefined : {...free, waiting: this.shares.waiting};
      details.shares = this.shares.report();
    }
    return {...details, version};
  }
}
