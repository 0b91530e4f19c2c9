/**
 * A log file of checksummed records, synced in groups.
 *
 * Compaction writes a new file under the next generation number and only then removes the old one.
 */
import type {Disk, DiskFile} from './StorageDisk';

import {encodeRecord, scanRecords} from './StorageRecord';

const FILE_PREFIX = 'log-';

/**
 * Whether a file is a log's.
 *
 * @param name the file's name
 */
export function isLogName(name: string): boolean {
  return name.startsWith(FILE_PREFIX);
}

const GENERATION_DIGITS = 8;

function fileName(generation: number): string {
  return FILE_PREFIX + String(generation).padStart(GENERATION_DIGITS, '0');
}

function generationOf(name: string): number | undefined {
  const digits = name.startsWith(FILE_PREFIX) ? name.slice(FILE_PREFIX.length) : '';
  return /^\d+$/.test(digits) ? Number(digits) : undefined;
}

/** A log that was opened, with all that it held. */
export interface OpenedLog {
  readonly log: StorageLog;
  readonly payloads: readonly Uint8Array[];
}

/** Append-only log; one writer, one call at a time. */
export class StorageLog {
  private constructor(
    private readonly disk: Disk,
    private generation: number,
    private file: DiskFile,
    private sequence: number,
    private size: number,
  ) {}

  /** Bytes of all records in the present file. */
  get bytes(): number {
    return this.size;
  }

  /**
   * Opens the newest generation, cuts off a torn write and returns the payloads.
   *
   * @param disk folder of the log
   */
  static async open(disk: Disk): Promise<OpenedLog> {
    const names = await disk.list();
    const generations = names
      .map(generationOf)
      .filter((generation) => generation !== undefined)
      .sort((a, b) => a - b);
    const generation = generations.at(-1) ?? 0;
    const name = fileName(generation);
    const content = (await disk.read(name)) ?? new Uint8Array();
    const {records, validBytes} = scanRecords(name, content);
    if (validBytes < content.length) {
      await disk.truncate(name, validBytes);
    }
    const file = await disk.open(name);
    const last = records.at(-1);
    if (last !== undefined) {
      // Its sync may have failed before this start: then the system takes it for written, and only a write makes it last.
      await file.rewrite(last.start, content.subarray(last.start, last.end));
    }
    await file.sync();
    for (const old of generations.slice(0, -1)) {
      await disk.remove(fileName(old));
    }
    await disk.syncDirectory();
    return {
      log: new StorageLog(disk, generation, file, records.length, validBytes),
      payloads: records.map(({payload}) => payload),
    };
  }

  /**
   * Writes one record and syncs it. A rejected promise means that nothing may be assumed of the
   * file: the replica must end.
   *
   * @param payload content
   */
  async append(payload: Uint8Array): Promise<void> {
    const record = encodeRecord(this.sequence, payload);
    await this.file.append(record);
    await this.file.sync();
    this.sequence++;
    this.size += record.length;
  }

  /**
   * Starts a new file with one record and removes the present one.
   *
   * @param payload first record of the new file
   */
  async restart(payload: Uint8Array): Promise<void> {
    const next = this.generation + 1;
    const name = fileName(next);
    const temporary = `${name}.tmp`;
    await this.disk.remove(temporary);
    const file = await this.disk.open(temporary);
    const record = encodeRecord(0, payload);
    await file.append(record);
    await file.sync();
    await this.disk.rename(temporary, name);
    await this.disk.syncDirectory();
    await this.file.close();
    await this.disk.remove(fileName(this.generation));
    this.generation = next;
    this.file = file;
    this.sequence = 1;
    this.size = record.length;
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.file.close();
  }
}
