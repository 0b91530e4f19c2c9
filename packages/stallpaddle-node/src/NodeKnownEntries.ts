/**
 * Entry VMs that a replica of the control group remembers on its disk. After a loss of all processes the VMs without a disk know
 * their seeds only, and those may be the last to come back: whoever is back first tells them what it holds.
 */
import type {LogFields, MonotonicMs, VmId} from 'stallpaddle';
import type {EntryView} from 'stallpaddle-fleet';

import {errorMessage, rendezvousOrder} from 'stallpaddle';
import {type Disk, replaceFile} from 'stallpaddle-storage';
import * as z from 'zod/mini';

import {hostOf} from './NodeSettings';

const FILE_NAME = 'entries.json';

/** Time between two records, in milliseconds: entry VMs that come or leave one after the other make one. */
const RECORD_AGAIN_MS = 5_000;

/** Replicas that tell each entry VM: one of them may be lost. */
const BOOTSTRAPPERS_PER_ENTRY = 2;

const hostsSchema = z.array(z.string());

/**
 * Whether a replica is one of those that tell an entry VM what they hold.
 *
 * @param entry the entry VM
 * @param self the replica's VM
 * @param replicas VMs of all replicas
 */
export function isBootstrapperOf(entry: VmId, self: VmId, replicas: readonly VmId[]): boolean {
  return rendezvousOrder(entry, replicas).slice(0, BOOTSTRAPPERS_PER_ENTRY).includes(self);
}

/** See the module's comment. */
export class NodeKnownEntries {
  private recordedAt: MonotonicMs = -Infinity;
  private recording = false;

  private constructor(
    private readonly disk: Disk,
    private readonly note: (message: string, fields: LogFields) => void,
    private known: readonly VmId[],
  ) {}

  /**
   * Reads what is remembered.
   *
   * @param disk this VM's disk
   * @param note writes a line of the log
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
      // What was remembered only makes a start faster.
      note('The entry VMs of before can’t be read.', {error: errorMessage(err)});
      return [];
    });
    return new NodeKnownEntries(disk, note, known);
  }

  /** Hosts of the entry VMs. */
  get hosts(): readonly VmId[] {
    return this.known;
  }

  /**
   * Takes in the entry VMs as they are now, and records them when others are there than before.
   *
   * @param entries entry VMs by the news
   * @param now the present moment
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
