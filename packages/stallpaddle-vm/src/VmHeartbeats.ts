/** Heartbeats between VMs, which carry membership, configuration and engine loads. */
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

/** A heartbeat as sent. */
export interface HeartbeatMessage {
  readonly loads: readonly EngineLoadTuple[];
  readonly news: readonly VmUpdate[];
  /** Revision in force on the sender. */
  readonly revision: number;
  /** Version of the receiver's membership view that the sender has seen. */
  readonly since: number;
  /**
   * The sender has a disk: it sends its whole membership view, wants the receiver's in return and
   * detects lost VMs itself.
   */
  readonly tellsAll: boolean;
  /** How long the receiver may hold the response while nothing changes, in milliseconds. */
  readonly waitMs: number;
}

/** Response to a heartbeat. */
export interface HeartbeatResponse {
  readonly config: ConfigUpdate | null;
  /** Time since `revision` was known to be the latest, in milliseconds; null when unknown. */
  readonly freshAgeMs: number | null;
  /** How long the response was held, in milliseconds. */
  readonly heldMs: number;
  readonly loads: readonly EngineLoadTuple[];
  readonly lost: readonly VmId[];
  readonly news: readonly VmUpdate[];
  /** Latest revision that the responding VM knows. */
  readonly revision: number;
  /** Version of the responding VM's membership view. */
  readonly version: number;
  /** Models with batch items that wait for a lease, by the responding VM's replicas. */
  readonly waitingModels: readonly string[];
}

/** Dependencies of `VmHeartbeats`. */
export interface VmHeartbeatsOptions {
  readonly clock: Clock;
  readonly config: () => ConfigView;
  readonly groups: VmGroups | undefined;
  readonly loads: () => readonly EngineLoadTuple[];
  readonly membership: () => MembershipState;
  readonly onConfig: (response: HeartbeatResponse, basis: number, sentAt: number) => void;
  readonly onLoads: (loads: readonly EngineLoadTuple[]) => void;
  readonly onMembership: (event: MembershipEvent) => void;
  readonly peers: VmPeers;
  readonly self: () => VmMetadata;
  readonly settings: VmSettings;
}

/** Allowance for drift between two VMs' clocks, as a fraction of the time a response was held. */
const CLOCK_DRIFT_FRACTION = 0.05;

/**
 * Sends heartbeats and responds to them.
 *
 * A VM without a disk keeps one long call open to a VM with a disk, preferably in its own
 * availability zone. VMs with a disk call one another. So VMs without a disk never call one another,
 * and a new revision takes at most two hops.
 */
export class VmHeartbeats {
  private heldResponses: (() => void)[] = [];
  private loops: readonly Promise<void>[] = [];
  private readonly seenVersions = new Map<VmId, number>();
  private stopped = false;

  /**
   * @param options dependencies
   */
  constructor(private readonly options: VmHeartbeatsOptions) {}

  /** Starts to send heartbeats. */
  start(): void {
    this.loops = this.options.groups === undefined ? [this.callNearest()] : [this.callDiskVms()];
  }

  /** Stops sending and releases all held responses. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.wake();
    await Promise.all(this.loops);
  }

  /** Sends all held responses, as something has changed. */
  wake(): void {
    const waiting = this.heldResponses;
    this.heldResponses = [];
    waiting.forEach((resolve) => resolve());
  }

  /**
   * Responds to a heartbeat.
   *
   * @param encoded the heartbeat
   */
  async respond(encoded: Uint8Array): Promise<Uint8Array> {
    const {clock, config, loads, membership, onLoads, onMembership} = this.options;
    const heartbeat = decodeValue<HeartbeatMessage>(encoded);
    onMembership({kind: 'newsHeard', news: heartbeat.news});
    onLoads(heartbeat.loads);
    const receivedAt = clock.monotonicMs();
    const isUpToDate = config().revision <= heartbeat.revision;
    if (heartbeat.waitMs > 0 && isUpToDate && !this.stopped) {
      await this.waitForChange(heartbeat.waitMs);
    }
    const now = clock.monotonicMs();
    const {freshAt, revision} = config();
    const response: HeartbeatResponse = {
      config: this.configUpdateAfter(heartbeat.revision),
      freshAgeMs: Number.isFinite(freshAt) ? now - freshAt : null,
      heldMs: now - receivedAt,
      loads: loads(),
      lost: heartbeat.tellsAll ? [] : lostVms(membership(), now),
      news: updatesSince(membership(), now, heartbeat.tellsAll ? 0 : heartbeat.since),
      revision,
      version: membership().version,
      waitingModels: this.options.groups?.waitingModels() ?? [],
    };
    return encodeValue(response);
  }

  private waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.heldResponses.push(done);
    });
  }

  private configUpdateAfter(revision: number): ConfigUpdate | null {
    const control = this.options.groups?.controlReplica?.localState;
    if (control === undefined || control.revision <= revision) {
      return null;
    }
    return {...changesAfter(control, revision), revision: control.revision};
  }

  /** Other VMs with a disk, those of this availability zone first. */
  private diskVms(): readonly VmId[] {
    const {clock, membership, settings} = this.options;
    const known = liveVms(membership(), clock.monotonicMs()).filter(({hasDisk}) => hasDisk);
    const zones = new Map(known.map(({vm, zone}) => [vm, zone]));
    const vms = new Set([...settings.seeds.map(({vm}) => vm), ...zones.keys()]);
    vms.delete(settings.vm);
    const order = rendezvousOrder(settings.vm, [...vms]);
    const sameZone = order.filter((vm) => zones.get(vm) === settings.zone);
    return [...sameZone, ...order.filter((vm) => !sameZone.includes(vm))];
  }

  private async callNearest(): Promise<void> {
    let failures = 0;
    while (!this.stopped) {
      const targets = this.diskVms();
      const target = targets[failures % targets.length]!;
      const startedAt = this.options.clock.monotonicMs();
      const ok = await this.send(target, HEARTBEAT_HOLD_MS, false);
      failures = ok ? failures : failures + 1;
      const tookMs = this.options.clock.monotonicMs() - startedAt;
      await delay(Math.max(HEARTBEAT_PAUSE_MS, ok ? 0 : HEARTBEAT_INTERVAL_MS / 2 - tookMs));
    }
  }

  private async callDiskVms(): Promise<void> {
    while (!this.stopped) {
      this.options.onMembership({kind: 'beatDue'});
      for (const vm of this.diskVms()) {
        void this.send(vm, 0, true);
      }
      await delay(HEARTBEAT_INTERVAL_MS);
    }
  }

  /** Sends one heartbeat; false if it failed or the configuration of the VM called is stale. */
  private async send(target: VmId, waitMs: number, tellsAll: boolean): Promise<boolean> {
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
    const selfUpdate: VmUpdate = {ageMs: 0, facts: this.options.self(), sequence: self.sequence};
    const message: HeartbeatMessage = {
      loads: loads(),
      news: tellsAll ? updatesSince(membership(), sentAt, 0) : [selfUpdate],
      revision: basis,
      since: this.seenVersions.get(target) ?? 0,
      tellsAll,
      waitMs,
    };
    try {
      const reply = await client.beat(
        {encoded: encodeValue(message)},
        {timeoutMs: HEARTBEAT_CALL_TIMEOUT_MS},
      );
      const response = decodeValue<HeartbeatResponse>(reply.encoded);
      if (this.stopped) {
        return true;
      }
      this.seenVersions.set(target, response.version);
      onMembership({kind: 'newsHeard', news: response.news});
      if (!tellsAll) {
        onMembership({kind: 'lossesHeard', lost: response.lost});
      }
      onLoads(response.loads);
      const heldMs = response.heldMs * (1 - CLOCK_DRIFT_FRACTION);
      onConfig(response, basis, sentAt + heldMs);
      return response.freshAgeMs !== null && response.freshAgeMs < HEARTBEAT_CALL_TIMEOUT_MS * 2;
    } catch {
      return false;
    }
  }
}
