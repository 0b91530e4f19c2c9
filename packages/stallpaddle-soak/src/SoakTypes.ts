/** Faults, events and promises of a soak. Times are in milliseconds since the start of the history. */

import type {ProbedRoute, ProbeOutcome} from './SoakConfigurations';
import type {TakenUpStream} from './SoakStreams';

/** Routes in the configuration of a soak: a request on `once` may run only once, one on `stream` is retried. */
export type SoakRoute = 'once' | 'stream';

/** A fault that is injected into the fleet. */
export type SoakFault =
  /** Kills the process and restarts it after `downMs` with the same disk. */
  | {readonly downMs: number; readonly kind: 'kill'; readonly vm: string}
  /** Kills all processes at the same time; the VMs in `wiped` also lose their disks. */
  | {readonly downMs: number; readonly kind: 'killAll'; readonly wiped: readonly string[]}
  /** Suspends the process for `forMs`. */
  | {readonly forMs: number; readonly kind: 'freeze'; readonly vm: string}
  /** Stops the process gracefully and restarts it. */
  | {readonly kind: 'stop'; readonly vm: string}
  /** Kills the process and restarts it after `downMs` with an empty disk. */
  | {readonly downMs: number; readonly kind: 'wipe'; readonly vm: string}
  /** Drops what other processes send to the VM, its responses, or both, without closing connections. */
  | {
      readonly direction: 'answers' | 'both' | 'calls';
      readonly forMs: number;
      readonly kind: 'cut';
      readonly vm: string;
    }
  /** Delays the traffic between the VM and other processes. */
  | {readonly delayMs: number; readonly forMs: number; readonly kind: 'slow'; readonly vm: string}
  /** Resets all connections of other processes to the VM. */
  | {readonly kind: 'reset'; readonly vm: string}
  /** Crashes the engine and restarts it after `downMs`, under the same or a new name. */
  | {
      readonly downMs: number;
      readonly engine: number;
      readonly kind: 'engineCrash';
      readonly sameName: boolean;
    }
  /** The engine accepts requests, but neither responds nor reports, for `forMs`. */
  | {readonly engine: number; readonly forMs: number; readonly kind: 'engineSilent'}
  /** The engine aborts some of its responses for `forMs`. */
  | {readonly engine: number; readonly forMs: number; readonly kind: 'engineBreaks'}
  /** The engine announces that it drains, serves on for a while, exits and restarts. */
  | {readonly engine: number; readonly kind: 'engineLeaves'; readonly sameName: boolean}
  /** The operator submits the next configuration. */
  | {readonly kind: 'configure'};

/** A fault and the time of its injection. */
export interface PlannedFault {
  /** Milliseconds since the start of the plan. */
  readonly at: number;
  readonly fault: SoakFault;
}

/** Result of a batch item, as a caller read it. */
export interface SoakResult {
  readonly id: string;
  readonly outcome: 'completed' | 'givenUp';
  readonly text: string;
}

/** An event observed by a caller, an engine or the operator. */
export type SoakEvent = {readonly at: number} & (
  | {readonly fault: SoakFault; readonly kind: 'faultBegan'}
  | {readonly fault: SoakFault; readonly kind: 'faultEnded'}
  /** A caller sent a request to a VM. */
  | {
      readonly id: string;
      readonly kind: 'asked';
      /** Set when it takes a stream up again. */
      readonly resumes?: TakenUpStream | undefined;
      readonly route: SoakRoute;
      readonly vm: string;
    }
  /** A caller received a response; `whole` says whether its body was complete by HTTP framing. */
  | {
      readonly id: string;
      readonly kind: 'answered';
      /** Whether the caller closed the connection. */
      readonly left?: boolean | undefined;
      readonly status: number;
      readonly text: string;
      readonly whole: boolean;
    }
  /** A caller's connection failed before the head of a response was complete. */
  | {readonly id: string; readonly kind: 'broken'}
  /** An engine started to run a request or an item. */
  | {
      readonly engine: string;
      readonly id: string;
      readonly kind: 'ran';
      readonly resumeAfter: number;
    }
  /** A request crashed the engine that ran it. */
  | {readonly engine: string; readonly kind: 'engineEnded'; readonly request: string}
  /** An engine completed a request or an item. */
  | {readonly id: string; readonly kind: 'finished'}
  /** A batch job was submitted for the first time. */
  | {readonly items: readonly string[]; readonly job: string; readonly kind: 'jobSent'}
  | {readonly job: string; readonly kind: 'jobAccepted'}
  /** A batch job was refused at every attempt: none of its items may run. */
  | {readonly job: string; readonly kind: 'jobRefused'}
  /** A caller read a job's results, starting at position `from`. */
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
  /** An engine's report that it drains was acknowledged. */
  | {readonly engine: string; readonly kind: 'leaveAccepted'}
  | {readonly kind: 'configSent'; readonly version: number}
  | {readonly kind: 'configAccepted'; readonly version: number}
  /** A valid configuration was refused. */
  | {readonly kind: 'configRefused'; readonly version: number}
  /** An invalid configuration was sent and confirmed. */
  | {readonly fault: string; readonly kind: 'invalidConfigAccepted'}
  /** A VM's response to a request on a route that depends on the configuration. */
  | {
      readonly kind: 'probed';
      readonly outcome: ProbeOutcome;
      readonly route: ProbedRoute;
      readonly sentAt: number;
      readonly vm: string;
    }
  | {
      readonly kind: 'configRead';
      readonly sentAt: number;
      readonly version: number;
      readonly vm: string;
    }
  /** All faults are over, and the time to recover has passed. */
  | {readonly kind: 'recovered'}
  | {readonly kind: 'ended'}
);

/** Time bounds that follow from the settings of a soak, in milliseconds. */
export interface SoakBounds {
  readonly applyMs: number;
  readonly cancelMs: number;
  /** Time after which an undisturbed VM knows what other VMs have reported. */
  readonly contactMs: number;
  readonly drainMs: number;
  /** Time after which every VM must find an accepted job. */
  readonly settleMs: number;
}

/** A violation of a promise. */
export interface SoakBreak {
  readonly at: number;
  readonly detail: string;
  readonly promise: SoakPromise;
}

/** Promises that the checker verifies. */
export type SoakPromise =
  | 'acceptedConfigStays'
  | 'acceptedJobIsFound'
  | 'answerIsOwnAndWhole'
  | 'cancelledJobStops'
  | 'configIsInForce'
  | 'fleetRecovers'
  | 'invalidConfigIsRefused'
  | 'itemEndsOnce'
  | 'leavingEngineGetsNothing'
  | 'notRunIsTrue'
  | 'onceRunsOnce'
  | 'outputKeepsVersion'
  | 'plannedStopCutsNothing'
  | 'requestEndsFewEngines'
  | 'resultIsWhole'
  | 'resultsStay'
  | 'runsWereAsked'
  /** Requests that share a part with quarantined ones, but not the cause, are served. */
  | 'sharersAreServed'
  | 'streamsGoOn';
