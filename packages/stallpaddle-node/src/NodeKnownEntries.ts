/**
 * The entry VMs that a replica of the control group has recorded on its disk.
 */
import type {LogFields, MonotonicMs, VmId} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';

import {errorMessage, rendezvousOrder} from 'stallpaddle';
import {type Disk, replaceFile} from 'stallpaddle-storage';
import * as z from 'zod/mini';

import {hostOf} from './NodeSettings';

const FILE_NAME = 'entries.json';

/** Shortest time between two writes, in milliseconds; it combines changes that follow each other closely. */
const RECORD_AGAIN_MS = 5_000;

/** Replicas that bootstrap each entry VM; one of them may be lost. */
const BOOTSTRAPPERS_PER_ENTRY = 2;

const hostsSchema = z.array(z.string());

/**
 * Whether a replica is one of those that bootstrap an entry VM.
 *
 * @param entry the entry VM
 * @param self the replica's VM
 * @param replicas VMs of all replicas
 */
export function isBootstrapperOf(entry: VmId, self: VmId, replicas: readonly VmId[]): boolean {
  return rendezvousOrder(entry, replicas).slice(0, BOOTSTRAPPERS_PER_ENTRY).includes(self);
}

/**
 * Records the addresses of the entry VMs on disk. After all processes were lost, VMs without a disk know only their seeds,
 * which may return last; the replicas that return first bootstrap the entry VMs recorded here.
 */
export class NodeKnownEntries {
  private recordedAt: MonotonicMs = -Infinity;
  private recording = false;

  private constructor(
    private readonly disk: Disk,
    private readonly note: (message: string, fields: LogFields) => void,
    private known: readonly VmId[],
  ) {}

  /**
   * Reads the recorded entry VMs.
   *
   * @param disk this VM's disk
   * @param note writes a log line
   */
  static async open(
    disk: Disk,
    note: (message: string, fields: LogFields) => void,
  ): Promise<NodeKnownEntries> {
    const read = async (): Promise<readonly VmId[]> => {
      const bytes = await disk.read(FILE_NAME);
      return bytes === undefined
        ? []
        : hostsSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
    };
    const known = await read().catch((err: unknown) => {
      // The record only speeds up a start, so the process goes on without it.
      note('The recorded entry VMs can’t be read.', {error: errorMessage(err)});
      return [];
    });
    return new NodeKnownEntries(disk, note, known);
  }

  /** Hosts of the entry VMs. */
  get hosts(): readonly VmId[] {
    return this.known;
  }

  /**
   * Records the current entry VMs if they have changed.
   *
   * @param entries entry VMs of the fleet status
   * @param now the current time
   */
  update(entries: readonly EntryView[], now: MonotonicMs): void {
    const hosts = entries.map(({address}) => hostOf(address)).sort();
    const isSame = hosts.join() === this.known.join();
    if (isSame || hosts.length === 0 || this.recording || now - this.recordedAt < RECORD_AGAIN_MS) {
      return;
    }
    this.recordedAt = now;
    this.recording = true;
    replaceFile(this.disk, FILE_NAME, Buffer.from(JSON.stringify(hosts)))
      .then(() => {
        this.known = hosts;
      })
      .catch((err: unknown) => {
        this.note('The entry VMs can’t be recorded.', {error: errorMessage(err)});
      })
      .finally(() => {
        this.recording = false;
      });
  }
}
