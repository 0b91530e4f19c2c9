/** Urgency of batch items. */
import type {MonotonicMs} from 'stallpaddle';
import type {GroupMs} from 'stallpaddle-replication';

import {shareWeight} from 'stallpaddle-admission';
import {
  type EngineView,
  type FleetRoute,
  type FleetView,
  RouteTable,
  servedSoftware,
  type SoftwareByService,
  UNKNOWN_SOFTWARE,
} from 'stallpaddle-fleet';

import type {PlannedItem} from './JobsPlan';
import type {Task} from './JobsTasks';

import {JobsEstimates} from './JobsEstimates';
import {takeTurns} from './JobsTurns';

/** Items that are due within the same period are equally urgent, in milliseconds. */
const EQUAL_URGENCY_MS = 1_000;

/** Number by which all late items are equally urgent. */
const LATE = Infinity;

interface WaitingItem extends PlannedItem {
  /** Its customer; empty for none. */
  readonly customer: string;
  /** Expected remaining run time, in milliseconds. */
  readonly remainingMs: number;
  /** Time until the item is due, in milliseconds. */
  readonly slackMs: number;
  /** Items with the same number are equally urgent. */
  readonly urgency: number;
}

/** Items that can be on time come first, ordered by due time; late ones follow, ordered by remaining run time. */
function compareUrgency(a: WaitingItem, b: WaitingItem): number {
  if (a.late !== b.late) {
    return Number(a.late) - Number(b.late);
  }
  return a.late ? a.remainingMs - b.remainingMs : a.slackMs - b.slackMs;
}

function mayStart({ending, notBefore, run, startingOn}: Task, now: MonotonicMs): boolean {
  return run === undefined && startingOn === undefined && !ending && now >= notBefore;
}

/** Orders waiting items by their routes' target times and their expected run times. */
export class JobsUrgency {
  /** Expected run times. */
  readonly estimates = new JobsEstimates();
  private weights:
    {readonly of: ReadonlyMap<string, number>; readonly version: number | undefined} | undefined;
  private served:
    {readonly engines: readonly EngineView[]; readonly of: SoftwareByService} | undefined;
  private routes: {readonly table: RouteTable; readonly version: number} | undefined;

  /**
   * @param clockMs the group's clock, in milliseconds
   * @param takesTurns whether customers take turns among equally urgent items
   */
  constructor(
    private readonly clockMs: () => GroupMs,
    private readonly takesTurns: () => boolean = () => false,
  ) {}

  /**
   * Route of an item, as it is in the current configuration. A status from before the item may lack the route that accepted
   * it; no other one takes its place then.
   *
   * @param view the fleet view
   * @param task the item
   * @returns undefined when the route was removed and no other takes its place, or no configuration is known
   */
  routeOf({asOf, config}: FleetView, task: Task): FleetRoute | undefined {
    if (config === null) {
      return undefined;
    }
    if (this.routes?.version !== config.version) {
      this.routes = {table: new RouteTable(config), version: config.version};
    }
    const route = this.routes.table.findForJob(task.job);
    return route?.name === task.job.route || asOf >= task.knownSince ? route : undefined;
  }

  /**
   * Time until an item is due, in milliseconds; negative when it is late.
   *
   * @param view the fleet view
   * @param task the item
   */
  slackMs(view: FleetView, task: Task): number {
    const due = task.acceptedAt + (this.routeOf(view, task)?.targetMs ?? 0);
    return due - this.clockMs();
  }

  /**
   * Items that may start, the most urgent first; those that can no longer be on time come last.
   *
   * @param view the fleet view
   * @param tasks all open items
   * @param now the current time
   */
  waitingItems(view: FleetView, tasks: Iterable<Task>, now: MonotonicMs): readonly PlannedItem[] {
    const found: WaitingItem[] = [];
    const held = new Map<string, number>();
    for (const task of tasks) {
      if (task.run !== undefined || task.startingOn !== undefined) {
        const customer = task.job.customer ?? '';
        held.set(customer, (held.get(customer) ?? 0) + 1);
      }
      if (mayStart(task, now)) {
        found.push(...this.toWaitingItem(view, task));
      }
    }
    found.sort(compareUrgency);
    if (!this.takesTurns()) {
      return found;
    }
    const weights = this.weightsOf(view);
    return takeTurns(found, {
      heldOf: (customer) => held.get(customer) ?? 0,
      weightOf: (customer) => weights.get(customer) ?? 1,
    });
  }

  /** Empty if the item has no route, or its route no service. */
  private toWaitingItem(view: FleetView, task: Task): readonly WaitingItem[] {
    const route = this.routeOf(view, task);
    const service = route?.split.find(({weight}) => weight > 0)?.service;
    if (route === undefined || service === undefined) {
      return [];
    }
    const slackMs = this.slackMs(view, task);
    const softwareVersion = this.boundVersion(view, service, task);
    // Without an engine of its version the item begins anew.
    const events = softwareVersion === undefined ? 0 : task.events;
    const remainingMs = this.estimates.remainingMs(route.name, events);
    const late = slackMs < remainingMs;
    const dueMs = task.acceptedAt + route.targetMs;
    return [
      {
        customer: task.job.customer ?? '',
        key: task.key,
        late,
        remainingMs,
        service,
        slackMs,
        softwareVersion,
        urgency: late ? LATE : Math.floor(dueMs / EQUAL_URGENCY_MS),
      },
    ];
  }

  /** Software version at which an item goes on; undefined before its first event, and if no engine has the version. */
  private boundVersion({news}: FleetView, service: string, task: Task): string | undefined {
    if (task.events === 0) {
      return undefined;
    }
    if (this.served?.engines !== news.engines) {
      this.served = {engines: news.engines, of: servedSoftware(news.engines)};
    }
    const version = task.softwareVersion ?? UNKNOWN_SOFTWARE;
    return this.served.of.get(service)?.has(version) === true ? version : undefined;
  }

  private weightsOf({config}: FleetView): ReadonlyMap<string, number> {
    if (this.weights?.version !== config?.version) {
      const of = (config?.customers ?? []).map(
        (customer) => [customer.name, shareWeight(customer)] as const,
      );
      this.weights = {of: new Map(of), version: config?.version};
    }
    return this.weights?.of ?? new Map();
  }
}
