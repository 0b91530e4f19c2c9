/**
 * Runs the open items of a group in the slots that online requests leave, while this process leads it.
 */
import type {EngineId, MonotonicMs} from 'stallpaddle';
import type {Term} from 'stallpaddle-replication';

import {errorMessage, unreachable} from 'stallpaddle';
import {engineOf, type EngineView} from 'stallpaddle-fleet';

import type {JobsDispatcherOptions} from './JobsContext';
import type {JobsOnlineCounts} from './JobsOnlineCounts';

import {
  MAINTENANCE_INTERVAL_MS,
  MAX_STARTS_PER_PASS,
  MAX_VIEW_AGE_MS,
  MIN_PASS_INTERVAL_MS,
  RESERVED_SLOTS,
  SAVE_INTERVAL_MS,
} from './JobsConstants';
import {JobsEngineTracker} from './JobsEngineTracker';
import {planItems} from './JobsPlan';
import {JobsProgress} from './JobsProgress';
import {JobsRunner} from './JobsRunner';
import {JobsTasks} from './JobsTasks';
import {JobsUrgency} from './JobsUrgency';

/** See the module's comment. */
export class JobsDispatcher {
  private readonly engines: JobsEngineTracker;
  private lookedAt: MonotonicMs = -Infinity;
  private planned = false;
  private readonly progress: JobsProgress;
  private readonly runner: JobsRunner;
  private stopped = false;
  private readonly tasks = new JobsTasks();
  /** Term to which the tasks belong; undefined while this process doesn't lead. */
  private term: Term | undefined;
  /** Run only while this process leads: most stores never do. */
  private timers: readonly NodeJS.Timeout[] = [];
  private readonly urgency: JobsUrgency;

  /**
   * @param options what the dispatcher needs of its process
   */
  constructor(private readonly options: JobsDispatcherOptions) {
    this.progress = new JobsProgress(options);
    this.urgency = new JobsUrgency(() => options.state().clockMs);
    this.engines = new JobsEngineTracker({
      clock: options.clock,
      decide: (engine, fields) => options.decide('engineSurveyed', engine, fields),
      mayDecide: () => this.mayDecide(),
      onChange: () => this.schedulePass(),
      tasks: this.tasks,
      urgency: this.urgency,
      view: options.view,
      wire: options.wire,
    });
    this.runner = new JobsRunner({
      engines: this.engines,
      isFresh: () => this.isFresh(),
      mayDecide: () => this.mayDecide(),
      needs: options,
      schedulePass: () => this.schedulePass(),
      tasks: this.tasks,
      term: () => this.term,
      urgency: this.urgency,
    });
  }

  /** Looks soon at what may start and what must give way; many calls make one look. */
  schedulePass(): void {
    if (this.planned || this.stopped) {
      return;
    }
    this.planned = true;
    const look = (): void => {
      this.planned = false;
      this.lookedAt = this.options.clock.monotonicMs();
      this.look();
    };
    const waitMs = this.lookedAt + MIN_PASS_INTERVAL_MS - this.options.clock.monotonicMs();
    if (waitMs > 0) {
      setTimeout(look, waitMs);
    } else {
      setImmediate(look);
    }
  }

  /**
   * Takes in an entry VM's online requests; runs give way to them at once.
   *
   * @param sender the VM's process
   * @param sequence number of its word
   * @param own its online requests by engine
   */
  updateOnlineCounts(
    sender: string,
    sequence: number,
    own: Readonly<Record<EngineId, number>>,
  ): void {
    const more = this.online.update(sender, sequence, own);
    if (this.mayDecide()) {
      const view = this.options.view();
      more.forEach((id) => this.giveWay(engineOf(view, id)));
    }
    this.schedulePass();
  }

  /** Cuts all runs and does nothing more. */
  stop(): void {
    this.stopped = true;
    this.engines.stopSurvey();
    this.runner.stop();
    this.stopTimers();
    this.tasks.clear();
  }

  /** Items that wait and items that run. */
  counts(): {readonly running: number; readonly waiting: number} {
    let running = 0;
    let waiting = 0;
    for (const task of this.tasks.all()) {
      if (task.run !== undefined) {
        running++;
      } else {
        waiting++;
      }
    }
    return {running, waiting};
  }

  /** Online requests of all entry VMs. */
  get online(): JobsOnlineCounts {
    return this.engines.online;
  }

  /** Engines all of whose items have fallen silent. */
  stalledEngines(): readonly EngineId[] {
    return this.engines.silent();
  }

  /** Records what runs have brought since the last record, so that the next leader can go on from there. */
  async saveProgress(): Promise<void> {
    if (this.mayDecide()) {
      await this.progress.save(this.tasks.all(), () => this.mayDecide());
    }
  }

  private look(): void {
    this.followTerm();
    if (this.term === undefined) {
      if (this.options.leadership().kind === 'unsure') {
        // Nothing else tells when the lease of one that was just elected begins to run.
        this.schedulePass();
      }
      return;
    }
    this.tasks.follow(this.options.state());
    // While the lease doesn't run, runs go on: nobody else leads as far as is known, and a lapse is often short.
    if (!this.mayDecide()) {
      return;
    }
    this.engines.startSurvey();
    const view = this.options.view();
    const now = this.options.clock.monotonicMs();
    const waiting = this.urgency.waiting(view, this.tasks.all(), now);
    const {preemptions: cuts, starts} = planItems(
      this.engines.planned(view),
      waiting,
      RESERVED_SLOTS,
    );
    this.engines.outlived(view).forEach((key) => this.runner.cut(key));
    cuts.forEach((key) => this.runner.cut(key));
    // Knowledge that is too old may name an engine that has left.
    if (this.isFresh()) {
      // What is still being read begins with the next turn, perhaps with that of several looks before.
      const most = Math.max(0, MAX_STARTS_PER_PASS - this.engines.beginning());
      const begun = starts.slice(0, most);
      begun.forEach(({engine, key}) => void this.runner.start(key, engine));
      if (starts.length > most) {
        this.schedulePass();
      }
    }
  }

  private giveWay(engine: EngineView | undefined): void {
    if (engine !== undefined) {
      this.engines.excessAt(engine).forEach(({key}) => this.runner.cut(key));
    }
  }

  /** Whether what is known of the fleet is new enough to decide on items. */
  private isFresh(): boolean {
    return this.options.clock.monotonicMs() - this.options.view().asOf < MAX_VIEW_AGE_MS;
  }

  /** Whether this process leads in the term to which the tasks here belong. */
  private mayDecide(): boolean {
    const leadership = this.options.leadership();
    return !this.stopped && leadership.kind === 'leads' && leadership.term === this.term;
  }

  /**
   * The term in which this process decides. One that was just elected holds all that leaders before it have recorded only once it
   * leads: items that are taken in sooner go on from an older event than the one recorded. A lapse later changes no term.
   */
  private presentTerm(): Term | undefined {
    const leadership = this.options.leadership();
    switch (leadership.kind) {
      case 'follows':
        return undefined;
      case 'leads':
        return leadership.term;
      case 'unsure':
        return leadership.term === this.term ? this.term : undefined;
      default:
        return unreachable(leadership);
    }
  }

  /** Runs and what they brought belong to one term: other leaders may have gone on with the same items since. */
  private followTerm(): void {
    const term = this.stopped ? undefined : this.presentTerm();
    if (term === this.term) {
      return;
    }
    this.logTerm('dispatchEnded');
    this.tasks.clear();
    this.engines.stopSurvey();
    this.stopTimers();
    this.term = term;
    this.logTerm('dispatchBegan');
    if (term !== undefined) {
      this.timers = [
        setInterval(() => this.tidy(), MAINTENANCE_INTERVAL_MS),
        setInterval(() => void this.saveProgress(), SAVE_INTERVAL_MS),
      ];
    }
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers = [];
  }

  private logTerm(decision: 'dispatchBegan' | 'dispatchEnded'): void {
    const {clockMs, open} = this.options.state();
    if (this.term !== undefined) {
      const fields = {clockMs: Math.round(clockMs), jobs: open.size, term: this.term};
      this.options.decide(decision, '', {...fields, ...this.counts()});
    }
  }

  /** Gives up items whose time is over or whose route was removed, and lets the group's clock run. */
  private tidy(): void {
    if (!this.mayDecide()) {
      this.schedulePass();
      return;
    }
    const view = this.options.view();
    const {clockMs, open} = this.options.state();
    for (const task of this.isFresh() && view.config !== null ? [...this.tasks.all()] : []) {
      const route = this.urgency.routeOf(view, task);
      if (route === undefined || clockMs - task.acceptedAt > route.giveUpAfterMs) {
        task.run?.run.cancel();
        this.runner.giveUp(task, route === undefined ? 'noRoute' : 'tooOld', route);
      }
    }
    if (open.size > 0) {
      this.options.propose({kind: 'tick'}).catch((err: unknown) => this.logTick(err));
    }
    this.schedulePass();
  }

  private logTick(err: unknown): void {
    this.options.decide('tickFailed', '', {reason: errorMessage(err)});
  }
}
