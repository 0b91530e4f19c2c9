/**
 * Which items that wait are most urgent: by their routes' targets, and by how long such items take.
 */
import type {MonotonicMs} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import {type FleetRoute, type FleetView, RouteTable} from 'stallpaddle-fleet';

import type {PlannedItem} from './JobsPlan';
import type {Task} from './JobsTasks';

import {JobsEstimates} from './JobsEstimates';

interface WaitingItem extends PlannedItem {
  /** Time that it still needs, in milliseconds. */
  readonly remainingMs: number;
  /** Time until it is due, in milliseconds. */
  readonly slackMs: number;
}

/** In time before late; then whatever is due first, or, among the late, whatever ends first. */
function compareUrgency(a: WaitingItem, b: WaitingItem): number {
  if (a.late !== b.late) {
    return Number(a.late) - Number(b.late);
  }
  return a.late ? a.remainingMs - b.remainingMs : a.slackMs - b.slackMs;
}

function mayStart({ending, notBefore, run, startsAt}: Task, now: MonotonicMs): boolean {
  return run === undefined && startsAt === undefined && !ending && now >= notBefore;
}

/** See the module's comment. */
export class JobsUrgency {
  /** How long items take. */
  readonly estimates = new JobsEstimates();
  private routes: {readonly table: RouteTable; readonly version: number} | undefined;

  /**
   * @param clockMs the group's clock, in milliseconds
   */
  constructor(private readonly clockMs: () => GroupMs) {}

  /**
   * Route of an item as it is configured now.
   *
   * @param view what is known of the fleet
   * @param task the item
   * @returns undefined when no route leads there, or no configuration is known
   */
  routeOf({config}: FleetView, task: Task): FleetRoute | undefined {
    if (config === null) {
      return undefined;
    }
    if (this.routes?.version !== config.version) {
      this.routes = {table: new RouteTable(config), version: config.version};
    }
    return this.routes.table.find(task.job.host, task.job.path);
  }

  /**
   * Time until an item is due, in milliseconds; negative when it is late.
   *
   * @param view what is known of the fleet
   * @param task the item
   */
  slackMs(view: FleetView, task: Task): number {
    const due = task.acceptedAt + (this.routeOf(view, task)?.targetMs ?? 0);
    return due - this.clockMs();
  }

  /**
   * Items that may start, the most urgent first; those that can't be in time come last.
   *
   * @param view what is known of the fleet
   * @param tasks all open items
   * @param now the present moment
   */
  waiting(view: FleetView, tasks: Iterable<Task>, now: MonotonicMs): readonly PlannedItem[] {
    const found: WaitingItem[] = [];
    for (const task of tasks) {
      if (mayStart(task, now)) {
        found.push(...this.waitingItem(view, task));
      }
    }
    return found.sort(compareUrgency);
  }

  /** Empty for an item without a route or a service. */
  private waitingItem(view: FleetView, task: Task): readonly WaitingItem[] {
    const route = this.routeOf(view, task);
    const service = route?.split.find(({weight}) => weight > 0)?.service;
    if (route === undefined || service === undefined) {
      return [];
    }
    const slackMs = this.slackMs(view, task);
    const remainingMs = this.estimates.remainingMs(route.name, task.events);
    return [{key: task.key, late: slackMs < remainingMs, remainingMs, service, slackMs}];
  }
}
