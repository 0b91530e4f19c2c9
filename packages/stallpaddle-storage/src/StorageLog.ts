/**
 * A log file of checksummed records.
 *
 * Compaction writes a new file under the next generation number before it removes the old one.
 */
import type {Disk, DiskFile} from './StorageDisk';

import {encodeRecord, scanRecords} from './StorageRecord';

const FILE_PREFIX = 'log-';

/**
 * Whether a file name is that of a log.
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

/** An opened log, with the payloads of its records. */
export interface OpenedLog {
  readonly log: StorageLog;
  readonly payloads: readonly Uint8Array[];
}

/** Append-only log. Calls must not run concurrently. */
export class StorageLog {
  private constructor(
    private readonly disk: Disk,
    private generation: number,
    private file: DiskFile,
    private sequence: number,
    private size: number,
  ) {}

  /** Size of all records in the current file, in bytes. */
  get bytes(): number {
    return this.size;
  }

  /**
   * Opens the newest generation, truncates a torn write and returns the payloads.
   *
   * @param disk directory of the log
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
      // The last record's sync may have failed in an earlier process. The operating system may then consider its pages
      // clean, so only writing it again makes it durable.
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
   * Writes one record and syncs it. After a rejection the content of the file is undefined, and the replica must stop.
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
   * Starts a new file with one record and removes the current one.
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
