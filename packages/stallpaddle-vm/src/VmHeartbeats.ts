/**
 * Beats: signs of life, configuration and engine loads between VMs.
 *
 * A VM without a disk keeps one long call to a VM with a disk, the nearest that answers. VMs with a
 * disk call one another. So no VM talks to all, and a new revision travels at most two hops.
 */
import type {Clock, VmId} from 'stallpaddle';
import type {
  EngineLoadTuple,
  MembershipEvent,
  MembershipState,
  VmMetadata,
  VmUpdate,
} from 'stallpaddle-membership';
import type {VmSettings} from 'stallpaddle-settings';

import {decodeValue, delay, encodeValue, rendezvousOrder} from 'stallpaddle';
import {changesAfter} from 'stallpaddle-control';
import {HEARTBEAT_INTERVAL_MS, liveVms, lostVms, updatesSince} from 'stallpaddle-membership';

import type {ConfigUpdate, ConfigView} from './VmConfigView';
import type {VmGroups} from './VmGroups';
import type {VmPeers} from './VmPeers';

import {HEARTBEAT_CALL_TIMEOUT_MS, HEARTBEAT_HOLD_MS, HEARTBEAT_PAUSE_MS} from './VmConstants';

/** A beat as sent. */
export interface HeartbeatMessage {
  readonly loads: readonly EngineLoadTuple[];
  readonly news: readonly VmUpdate[];
  /** Revision in force on the sender. */
  readonly revision: number;
  /** Version of the receiver's view that the sender has seen. */
  readonly since: number;
  /** The sender has a disk and tells all it knows; it wants all in return and judges losses itself. */
  readonly tellsAll: boolean;
  /** How long the receiver may hold the answer while nothing is new, in milliseconds. */
  readonly waitMs: number;
}

/** Answer to a beat. */
export interface HeartbeatResponse {
  readonly config: ConfigUpdate | null;
  /** How long ago `revision` was known to be the newest, in milliseconds; null when unknown. */
  readonly freshAgeMs: number | null;
  /** How long the answer was held, in milliseconds. */
  readonly heldMs: number;
  readonly loads: readonly EngineLoadTuple[];
  readonly lost: readonly VmId[];
  readonly news: readonly VmUpdate[];
  /** Newest revision that the answering VM knows. */
  readonly revision: number;
  /** Version of the answering VM's view. */
  readonly version: number;
  /** Models with batch items that wait for a lease, as the answering VM's replicas know. */
  readonly waitingModels: readonly string[];
}

/** What beats need of the VM. */
export interface VmHeartbeatsOptions {
  readonly clock: Clock;
  readonly config: () => ConfigView;
  readonly groups: VmGroups | undefined;
  readonly loads: () => readonly EngineLoadTuple[];
  readonly membership: () => MembershipState;
  readonly onConfig: (answer: HeartbeatResponse, basis: number, sentAt: number) => void;
  readonly onLoads: (loads: readonly EngineLoadTuple[]) => void;
  readonly onMembership: (event: MembershipEvent) => void;
  readonly peers: VmPeers;
  readonly self: () => VmMetadata;
  readonly settings: VmSettings;
}

/** Part of the time that a beat was held by which the two VMs' clocks may differ. */
const HELD_DRIFT_FRACTION = 0.05;

/** Sends and answers beats. */
export class VmHeartbeats {
  private changed: (() => void)[] = [];
  private loops: readonly Promise<void>[] = [];
  private readonly seen = new Map<VmId, number>();
  private stopped = false;

  /**
   * @param options what beats need of the VM
   */
  constructor(private readonly options: VmHeartbeatsOptions) {}

  /** Starts to beat. */
  start(): void {
    this.loops = this.options.groups === undefined ? [this.beatToOne()] : [this.beatToDisks()];
  }

  /** Ends the beats. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.wake();
    await Promise.all(this.loops);
  }

  /** Lets held answers go because something is new. */
  wake(): void {
    const waiting = this.changed;
    this.changed = [];
    waiting.forEach((resolve) => resolve());
  }

  /**
   * Answers a beat.
   *
   * @param encoded the beat
   */
  async answer(encoded: Uint8Array): Promise<Uint8Array> {
    const {clock, config, loads, membership, onLoads, onMembership} = this.options;
    const beat = decodeValue<HeartbeatMessage>(encoded);
    onMembership({kind: 'newsHeard', news: beat.news});
    onLoads(beat.loads);
    const receivedAt = clock.monotonicMs();
    const isUpToDate = config().revision <= beat.revision;
    if (beat.waitMs > 0 && isUpToDate && !this.stopped) {
      await this.somethingNew(beat.waitMs);
    }
    const now = clock.monotonicMs();
    const {freshAt, revision} = config();
    const answer: HeartbeatResponse = {
      config: this.newsFor(beat.revision),
      freshAgeMs: Number.isFinite(freshAt) ? now - freshAt : null,
      heldMs: now - receivedAt,
      loads: loads(),
      lost: beat.tellsAll ? [] : lostVms(membership(), now),
      news: updatesSince(membership(), now, beat.tellsAll ? 0 : beat.since),
      revision,
      version: membership().version,
      waitingModels: this.options.groups?.waitingModels() ?? [],
    };
    return encodeValue(answer);
  }

  private somethingNew(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.changed.push(done);
    });
  }

  private newsFor(revision: number): ConfigUpdate | null {
    const control = this.options.groups?.controlReplica?.localState;
    if (control === undefined || control.revision <= revision) {
      return null;
    }
    return {...changesAfter(control, revision), revision: control.revision};
  }

  /** VMs with a disk, those of this availability zone first. */
  private diskVms(): readonly VmId[] {
    const {clock, membership, settings} = this.options;
    const known = liveVms(membership(), clock.monotonicMs()).filter(({hasDisk}) => hasDisk);
    const zones = new Map(known.map(({vm, zone}) => [vm, zone]));
    const names = new Set([...settings.seeds.map(({vm}) => vm), ...zones.keys()]);
    names.delete(settings.vm);
    const order = rendezvousOrder(settings.vm, [...names]);
    const near = order.filter((vm) => zones.get(vm) === settings.zone);
    return [...near, ...order.filter((vm) => !near.includes(vm))];
  }

  private async beatToOne(): Promise<void> {
    let failures = 0;
    while (!this.stopped) {
      const targets = this.diskVms();
      const target = targets[failures % targets.length]!;
      const startedAt = this.options.clock.monotonicMs();
      const ok = await this.beat(target, HEARTBEAT_HOLD_MS, false);
      failures = ok ? failures : failures + 1;
      const tookMs = this.options.clock.monotonicMs() - startedAt;
      await delay(Math.max(HEARTBEAT_PAUSE_MS, ok ? 0 : HEARTBEAT_INTERVAL_MS / 2 - tookMs));
    }
  }

  private async beatToDisks(): Promise<void> {
    while (!this.stopped) {
      this.options.onMembership({kind: 'beatDue'});
      for (const vm of this.diskVms()) {
        void this.beat(vm, 0, true);
      }
      await delay(HEARTBEAT_INTERVAL_MS);
    }
  }

  /** Sends one beat; false when it failed or the VM asked is itself out of touch. */
  private async beat(target: VmId, waitMs: number, tellsAll: boolean): Promise<boolean> {
    const {clock, config, loads, membership, onConfig, onLoads, onMembership, peers} = this.options;
    const client = peers.clientOf(target);
    if (client === undefined) {
      return false;
    }
    if (!tellsAll) {
      onMembership({kind: 'beatDue'});
    }
    const sentAt = clock.monotonicMs();
    const basis = config().revision;
    const self = membership().entries.get(this.options.settings.vm)!;
    const selfNews: VmUpdate = {ageMs: 0, facts: this.options.self(), sequence: self.sequence};
    const message: HeartbeatMessage = {
      loads: loads(),
      news: tellsAll ? updatesSince(membership(), sentAt, 0) : [selfNews],
      revision: basis,
      since: this.seen.get(target) ?? 0,
      tellsAll,
      waitMs,
    };
    try {
      const response = await client.beat(
        {encoded: encodeValue(message)},
        {timeoutMs: HEARTBEAT_CALL_TIMEOUT_MS},
      );
      const answer = decodeValue<HeartbeatResponse>(response.encoded);
      if (this.stopped) {
        return true;
      }
      this.seen.set(target, answer.version);
      onMembership({kind: 'newsHeard', news: answer.news});
      if (!tellsAll) {
        onMembership({kind: 'lossesHeard', lost: answer.lost});
      }
      onLoads(answer.loads);
      const heldMs = answer.heldMs * (1 - HELD_DRIFT_FRACTION);
      onConfig(answer, basis, sentAt + heldMs);
      return answer.freshAgeMs !== null && answer.freshAgeMs < HEARTBEAT_CALL_TIMEOUT_MS * 2;
    } catch {
      return false;
    }
  }
}
