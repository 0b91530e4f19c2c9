/** Software versions that began streams, shared between the entry VMs. */
import type {Clock, LogFields, VmId} from 'stallpaddle';
import type {EntryView, FleetRequest, FleetRoute, FleetView} from 'stallpaddle-fleet';
import type {TryOutcome, TryRequest} from 'stallpaddle-rpc';

import {delay, encodeValue, vmOfReplica} from 'stallpaddle';
import {
  type EngineSoftware,
  hasMixedSoftware,
  provenSoftware,
  recentSoftware,
  type ReplicaReading,
  type SoftwareByService,
  streamLifeMs,
  versionsOfRoute,
} from 'stallpaddle-fleet';
import {
  isNamedByStart,
  RelayStreamRecords,
  type RelayStreams,
  type StreamRecord,
  UNCONFIRMED_SOFTWARE,
} from 'stallpaddle-relay';

import type {NodeWatch} from './NodeWatch';

import {CONTROL_GROUP, RETRY_PAUSE_MS} from './NodeConstants';
import {hostOf} from './NodeSettings';
import {streamHolders} from './NodeStreamHolders';

/** Other VMs that keep a copy of each record. Where five of nine VMs are lost at once, 7 in 100 records go with them. */
const COPIES = 3;
/** VMs that are asked for a record; more than hold it, as the list of VMs may have changed since. */
const MAX_ASKED = 5;
/**
 * Timeout of a call to another VM, in milliseconds: longer than the turns of event loops right after a loss of many VMs, when
 * most callers return.
 */
const CALL_TIMEOUT_MS = 300;
/**
 * Longest wait of a process that has just started for its first status from a leader, in milliseconds. After all processes
 * were lost it takes an election, and callers give a stream up after a pause of two seconds.
 */
const STARTING_WAIT_MS = 1_000;

/** Calls between entry VMs on the software that began streams. */
export type StreamAsk =
  /** Answered with the software, or null if the VM doesn't know the stream. */
  | {readonly firstAttempt: string; readonly kind: 'findStream'}
  | {readonly kind: 'recordStreams'; readonly records: readonly StreamRecord[]};

type ReplicaRequest = Extract<FleetRequest, {kind: 'readReplica'}>;

/** Dependencies of {@link NodeStreams}. */
export interface NodeStreamsOptions {
  readonly clock: Clock;
  /** This VM. */
  readonly host: VmId;
  readonly note: (message: string, fields: LogFields) => void;
  readonly tryAt: (host: VmId, request: TryRequest, tryMs: number) => Promise<TryOutcome>;
  readonly watch: Pick<NodeWatch, 'ageMs' | 'confirm' | 'view'>;
}

/** A record on its way to other VMs. */
interface Sending {
  readonly record: StreamRecord;
  /** VMs that were not tried yet, in order. */
  readonly untried: VmId[];
}

function isUnconfirmed({softwareVersion}: EngineSoftware): boolean {
  return softwareVersion === UNCONFIRMED_SOFTWARE.softwareVersion;
}

/** The software that began all streams of a route which may come back; undefined if it is not known to be one. */
function onlySoftware(
  route: FleetRoute,
  recent: SoftwareByService | undefined,
): EngineSoftware | undefined {
  const [softwareVersion, ...others] = versionsOfRoute(route, recent ?? new Map());
  const open = route.split.find(({weight}) => weight > 0);
  return softwareVersion === undefined || others.length > 0 || open === undefined
    ? undefined
    : {service: open.service, softwareVersion};
}

/**
 * Remembers which software began each stream. While all engines have one version, nothing is sent; otherwise each record
 * is copied to three other VMs, chosen by the stream's first attempt, so that any VM finds it when the caller returns there.
 */
export class NodeStreams implements RelayStreams {
  private isMixed = false;
  private nextReading: Promise<SoftwareByService | undefined> | undefined;
  /** Latest reading of the software versions at the replicas. */
  private reading: Promise<SoftwareByService | undefined> = Promise.resolve(undefined);
  /** Records to send at the end of this turn of the event loop, by VM. */
  private readonly queues = new Map<VmId, Sending[]>();
  private readonly records: RelayStreamRecords;
  /** Streams of this VM whose engines are still being confirmed. */
  private readonly unconfirmed = new Map<string, Promise<void>>();

  /**
   * @param options its dependencies
   */
  constructor(private readonly options: NodeStreamsOptions) {
    this.records = new RelayStreamRecords(() => streamLifeMs(options.watch.view.config));
  }

  /** Number of streams that this VM remembers, its own and those of other VMs. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Applies a change of the fleet status. When a second version appears, the streams that began before are copied, too.
   *
   * @param view the new status
   * @param before the previous status
   */
  onView(view: FleetView, before: FleetView): void {
    const isSame =
      view.config === before.config &&
      view.news.engines === before.news.engines &&
      view.news.formerSoftware === before.news.formerSoftware;
    if (isSame) {
      return;
    }
    const wasMixed = this.isMixed;
    this.isMixed = hasMixedSoftware(view);
    if (this.isMixed !== wasMixed) {
      this.noteMixed(view);
    }
    if (this.isMixed && !wasMixed) {
      this.records.all(this.now).forEach((record) => this.send(record));
    }
  }

  /**
   * Records a stream.
   *
   * @param record the stream
   */
  record(record: StreamRecord): void {
    this.records.add(record, this.now);
    // Other VMs must not take the only version that they know for that of an unconfirmed engine.
    if (this.isMixed || isUnconfirmed(record.software)) {
      this.send(record);
    }
  }

  /**
   * Records a stream once its engine was confirmed, or could not be.
   *
   * @param firstAttempt attempt that brought its first event
   * @param record the stream
   */
  recordLater(firstAttempt: string, record: Promise<StreamRecord>): void {
    const recorded = record.then((known) => {
      this.record(known);
      if (this.unconfirmed.get(firstAttempt) === recorded) {
        this.unconfirmed.delete(firstAttempt);
      }
    });
    this.unconfirmed.set(firstAttempt, recorded);
  }

  /**
   * Finds the software that began a stream: in this VM's records, by the only version that the route's services had, or
   * in the records of other VMs. It is never guessed: that there is only one version is said by the leader or by a majority
   * of the control group's replicas.
   *
   * @param firstAttempt attempt that brought its first event; null if the caller doesn't name it
   * @param route route of the stream
   * @returns undefined when it is unknown
   */
  async find(firstAttempt: null | string, route: FleetRoute): Promise<EngineSoftware | undefined> {
    await this.unconfirmed.get(firstAttempt ?? '');
    const software = this.findOwn(firstAttempt) ?? (await this.findElsewhere(firstAttempt, route));
    return software === undefined || isUnconfirmed(software) ? undefined : software;
  }

  private async findElsewhere(
    firstAttempt: null | string,
    route: FleetRoute,
  ): Promise<EngineSoftware | undefined> {
    const recent = this.isMixed ? undefined : this.readRecentSoftware();
    const mayBeHeld = this.isMixed || this.hasRestartsUnderName(route);
    const held = mayBeHeld ? await this.askHolders(firstAttempt) : undefined;
    if (held !== undefined) {
      return held;
    }
    const only = onlySoftware(route, await (recent ?? this.readRecentSoftware()));
    return only ?? (mayBeHeld ? undefined : this.askHolders(firstAttempt));
  }

  /**
   * Answers another VM.
   *
   * @param ask the VM's call
   */
  answer(ask: StreamAsk): EngineSoftware | null {
    switch (ask.kind) {
      case 'findStream':
        return this.findOwn(ask.firstAttempt) ?? null;
      case 'recordStreams':
        ask.records.forEach((record) => this.records.add(record, this.now));
        return null;
    }
  }

  private get now(): number {
    return this.options.clock.monotonicMs();
  }

  private findOwn(firstAttempt: null | string): EngineSoftware | undefined {
    return firstAttempt === null ? undefined : this.records.find(firstAttempt, this.now);
  }

  private noteMixed({news}: FleetView): void {
    const versions = [...recentSoftware(news)].map(
      ([service, of]) => `${service}: ${[...of].sort().join(' ')}`,
    );
    const message = this.isMixed
      ? 'Engines of several software versions serve.'
      : 'All engines of a service have one software version.';
    this.options.note(message, {records: this.size, versions: versions.join(', ')});
  }

  /** Software versions that have begun streams until now; undefined if neither the leader nor a majority of replicas answers. */
  private async readRecentSoftware(): Promise<SoftwareByService | undefined> {
    const {watch} = this.options;
    const calledAt = this.now;
    for (;;) {
      if (await Promise.race([watch.confirm(), delay(CALL_TIMEOUT_MS).then(() => false)])) {
        return recentSoftware(watch.view.news);
      }
      const proven = await this.readAtReplicas();
      // A process that has had a status before is cut off, and a wait would not help it.
      const mayWait = watch.ageMs === Infinity && this.now - calledAt < STARTING_WAIT_MS;
      if (proven !== undefined || !mayWait) {
        return proven;
      }
      await delay(RETRY_PAUSE_MS);
    }
  }

  /** The same from the replicas of the control group, as during an election. Concurrent calls share the next reading. */
  private readAtReplicas(): Promise<SoftwareByService | undefined> {
    // A reading that has begun may lack what was committed since.
    this.nextReading ??= this.reading.then(() => {
      this.nextReading = undefined;
      const reading = this.askReplicas();
      this.reading = reading;
      return reading;
    });
    return this.nextReading;
  }

  private async askReplicas(): Promise<SoftwareByService | undefined> {
    const {config, news} = this.options.watch.view;
    const hosts = new Set(news.controls.map(vmOfReplica));
    const ask = {configAfter: config?.version ?? -Infinity, kind: 'readReplica'} as const;
    const outcomes = await Promise.all([...hosts].map((host) => this.call(host, ask)));
    const readings = outcomes.flatMap((outcome) =>
      outcome.kind === 'answered' ? [outcome.result as ReplicaReading] : [],
    );
    const proven = provenSoftware(readings);
    const fields = {asked: hosts.size, isProven: proven !== undefined, readings: readings.length};
    this.options.note('Software versions were read without a leader.', fields);
    return proven;
  }

  /** Whether engines of a route may start again under their ids, so that an unreported start may have begun a stream. */
  private hasRestartsUnderName({split}: FleetRoute): boolean {
    const services = new Set(split.map(({service}) => service));
    const {engines} = this.options.watch.view.news;
    return engines.some((engine) => services.has(engine.service) && !isNamedByStart(engine));
  }

  /** Other VMs in the order in which they are to hold a record. */
  private holdersOf(firstAttempt: string): readonly VmId[] {
    const {host, watch} = this.options;
    const vms = watch.view.news.entries.map(({address, zone}: EntryView) => ({
      host: hostOf(address),
      zone,
    }));
    return streamHolders(firstAttempt, vms).filter((other) => other !== host);
  }

  /** Asks the VMs that hold a record, until one knows the stream. */
  private async askHolders(firstAttempt: null | string): Promise<EngineSoftware | undefined> {
    if (firstAttempt === null) {
      return undefined;
    }
    const asked = this.holdersOf(firstAttempt).slice(0, MAX_ASKED);
    let answers = 0;
    const ask = async (host: VmId): Promise<EngineSoftware> => {
      const outcome = await this.call(host, {firstAttempt, kind: 'findStream'});
      answers += Number(outcome.kind === 'answered');
      const found = outcome.kind === 'answered' ? (outcome.result as EngineSoftware | null) : null;
      if (found === null) {
        throw new Error(`${host} doesn’t know the stream`);
      }
      return found;
    };
    const software = await Promise.any(asked.map(ask)).catch(() => undefined);
    if (software === undefined) {
      const fields = {answers, asked: asked.join(','), firstAttempt};
      this.options.note('No other VM knows the software that began a stream.', fields);
    } else {
      this.records.add({firstAttempt, software}, this.now);
    }
    return software;
  }

  private send(record: StreamRecord): void {
    const untried = this.holdersOf(record.firstAttempt).slice(0, MAX_ASKED);
    const sending = {record, untried};
    for (let copies = 0; copies < COPIES; copies++) {
      this.sendToNext(sending);
    }
  }

  private sendToNext(sending: Sending): void {
    const host = sending.untried.shift();
    if (host === undefined) {
      return;
    }
    const queue = this.queues.get(host);
    if (queue !== undefined) {
      queue.push(sending);
      return;
    }
    this.queues.set(host, [sending]);
    setImmediate(() => void this.flush(host));
  }

  /** Sends all queued records to a VM; if it doesn't confirm them, the next one gets each. */
  private async flush(host: VmId): Promise<void> {
    const sent = this.queues.get(host) ?? [];
    this.queues.delete(host);
    const records = sent.map(({record}) => record);
    const outcome = await this.call(host, {kind: 'recordStreams', records});
    if (outcome.kind !== 'answered') {
      sent.forEach((sending) => this.sendToNext(sending));
    }
  }

  private call(host: VmId, ask: ReplicaRequest | StreamAsk): Promise<TryOutcome> {
    const request = {encoded: encodeValue(ask), group: CONTROL_GROUP, query: true};
    return this.options.tryAt(host, request, CALL_TIMEOUT_MS);
  }
}
