/**
 * What a soak sees: faults that it causes, and what callers, backend servers and the operator get. Times are
 * milliseconds since the fleet took its first work.
 */

/** Routes of a soak's configuration, by what may happen to a request when an attempt fails. */
export type SoakRoute = 'once' | 'stream';

/** Something done to the fleet from outside. */
export type SoakFault =
  /** The process is killed and starts again after a while, on the same disk. */
  | {readonly downMs: number; readonly kind: 'kill'; readonly vm: string}
  /** All processes are killed at the same moment; those named lose their disks besides. */
  | {readonly downMs: number; readonly kind: 'killAll'; readonly wiped: readonly string[]}
  /** The process stands still and goes on. */
  | {readonly forMs: number; readonly kind: 'freeze'; readonly vm: string}
  /** The process is told to stop, and starts again once it has. */
  | {readonly kind: 'stop'; readonly vm: string}
  /** The process is killed, and starts again on an empty disk. */
  | {readonly downMs: number; readonly kind: 'wipe'; readonly vm: string}
  /** What other processes send to the VM, or the answers to it, is lost without a reset. */
  | {
      readonly direction: 'answers' | 'both' | 'calls';
      readonly forMs: number;
      readonly kind: 'cut';
      readonly vm: string;
    }
  /** What other processes exchange with the VM comes late. */
  | {readonly delayMs: number; readonly forMs: number; readonly kind: 'slow'; readonly vm: string}
  /** All connections of other processes to the VM are reset. */
  | {readonly kind: 'reset'; readonly vm: string}
  /** The engine is gone at once and starts again, under its name or another one. */
  | {
      readonly downMs: number;
      readonly engine: number;
      readonly kind: 'engineCrash';
      readonly sameName: boolean;
    }
  /** The engine takes requests and reports, and says nothing to either; then it goes on. */
  | {readonly engine: number; readonly forMs: number; readonly kind: 'engineSilent'}
  /** The engine breaks some of its answers off. */
  | {readonly engine: number; readonly forMs: number; readonly kind: 'engineBreaks'}
  /** The engine says that it leaves, serves on, ends and starts again. */
  | {readonly engine: number; readonly kind: 'engineLeaves'; readonly sameName: boolean}
  /** The operator sends the next configuration. */
  | {readonly kind: 'configure'};

/** A fault with its moment. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: SoakFault;
}

/** A result as it was read. */
export interface SoakResult {
  readonly id: string;
  readonly outcome: 'completed' | 'givenUp';
  readonly text: string;
}

/** What happened, as seen from outside. */
export type SoakEvent = {readonly at: number} & (
  | {readonly fault: SoakFault; readonly kind: 'faultBegan'}
  | {readonly fault: SoakFault; readonly kind: 'faultEnded'}
  /** A caller sends a request to a VM. */
  | {readonly id: string; readonly kind: 'asked'; readonly route: SoakRoute; readonly vm: string}
  /** A caller has an answer; `whole` tells whether it ended as a complete one does. */
  | {
      readonly id: string;
      readonly kind: 'answered';
      readonly status: number;
      readonly text: string;
      readonly whole: boolean;
    }
  /** A caller's connection ended without the head of an answer, or within it. */
  | {readonly id: string; readonly kind: 'broken'}
  /** An engine began work on a request or an item. */
  | {
      readonly engine: string;
      readonly id: string;
      readonly kind: 'ran';
      readonly resumeAfter: number;
    }
  /** A request has ended the engine that began to run it. */
  | {readonly engine: string; readonly kind: 'engineEnded'; readonly request: string}
  /** An engine brought a request or an item to its end. */
  | {readonly id: string; readonly kind: 'finished'}
  /** A batch job is sent for the first time. */
  | {readonly items: readonly string[]; readonly job: string; readonly kind: 'jobSent'}
  | {readonly job: string; readonly kind: 'jobAccepted'}
  /** A batch job was refused at every try: none of it runs. */
  | {readonly job: string; readonly kind: 'jobRefused'}
  /** A read of a job's results; `results` stand from position `from` on. */
  | {
      readonly from: number;
      readonly job: string;
      readonly kind: 'jobRead';
      readonly results: readonly SoakResult[];
      readonly total: number;
      readonly vm: string;
    }
  | {
      readonly job: string;
      readonly kind: 'jobNotFound';
      readonly sentAt: number;
      readonly vm: string;
    }
  | {readonly job: string; readonly kind: 'jobEndAccepted'}
  /** An engine's word that it leaves, or is gone, was acknowledged. */
  | {readonly engine: string; readonly kind: 'leaveAccepted'}
  | {readonly kind: 'configSent'; readonly version: number}
  | {readonly kind: 'configAccepted'; readonly version: number}
  | {
      readonly kind: 'configRead';
      readonly sentAt: number;
      readonly version: number;
      readonly vm: string;
    }
  /** All faults are over, and the fleet has had its time to recover. */
  | {readonly kind: 'recovered'}
  | {readonly kind: 'ended'}
);

/** Bounds that the settings of a soak promise, in milliseconds. */
export interface SoakBounds {
  readonly applyMs: number;
  readonly cancelMs: number;
  /** Time after which a VM that nothing troubles knows what others have seen. */
  readonly contactMs: number;
  readonly drainMs: number;
  /** Time after which an accepted job must be found everywhere. */
  readonly settleMs: number;
}

/** A promise that was broken. */
export interface SoakBreak {
  readonly at: number;
  readonly detail: string;
  readonly promise: SoakPromise;
}

/** What must hold, in the order of the report. */
export type SoakPromise =
  | 'acceptedConfigStays'
  | 'acceptedJobIsFound'
  | 'answerIsOwnAndWhole'
  | 'cancelledJobStops'
  | 'fleetRecovers'
  | 'itemEndsOnce'
  | 'leavingEngineGetsNothing'
  | 'notRunIsTrue'
  | 'onceRunsOnce'
  | 'plannedStopCutsNothing'
  | 'requestEndsFewEngines'
  | 'resultIsWhole'
  | 'resultsStay'
  | 'runsWereAsked';
