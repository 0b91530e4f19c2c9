/**
 * Ends an attempt whose engine says nothing. Silence that is longer than usual ends it as soon as another engine
 * has room for the request; silence that no engine should keep ends it in any case.
 */
import type {LearnedLimit} from 'stallpaddle';

/** Time between looks for an engine with room, in milliseconds: about one event. */
const LOOK_MS = 20;

/** How long an engine may be silent. */
export interface SilenceBounds {
  /** What is usual, as learned. */
  readonly usual: LearnedLimit;
  /** What ends the attempt in any case, in milliseconds. */
  readonly worstMs: number;
}

/** What it needs of its attempt. */
export interface RelaySilenceOptions {
  /** Ends the attempt. */
  readonly giveUp: () => void;
  /** Whether another engine would begin at once. */
  readonly mayMove: () => boolean;
}

/** See the module's comment. */
export class RelaySilence {
  private bounds: SilenceBounds | undefined;
  private since = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options what it needs of its attempt
   */
  constructor(private readonly options: RelaySilenceOptions) {}

  /**
   * Begins to wait, in place of any wait before.
   *
   * @param bounds how long the engine may be silent from now on
   */
  wait(bounds: SilenceBounds): void {
    this.bounds = bounds;
    this.since = performance.now();
    this.lookAfter(Math.min(bounds.usual.limitMs, bounds.worstMs));
  }

  /** Waits no more. */
  stop(): void {
    clearTimeout(this.timer);
    this.bounds = undefined;
  }

  private lookAfter(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.look(), ms);
  }

  private look(): void {
    if (this.bounds === undefined) {
      return;
    }
    const left = this.bounds.worstMs - (performance.now() - this.since);
    if (left <= 0 || this.options.mayMove()) {
      this.options.giveUp();
    } else {
      this.lookAfter(Math.min(LOOK_MS, left));
    }
  }
}
