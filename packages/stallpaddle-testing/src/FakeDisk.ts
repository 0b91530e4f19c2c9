/**
 * A disk in memory that can crash between any two operations, tear writes, fail them or be lost.
 */
import type {Disk, DiskFile} from 'stallpaddle-storage';

/** Raised by every operation once the disk's machine has crashed, and by the one that crashes. */
export class FakeCrashError extends Error {
  override readonly name = 'FakeCrashError';
}

interface FakeInode {
  /** Content that survives a crash. */
  durable: Uint8Array;
  volatile: Uint8Array;
}

/** What stays of bytes that were written but not synced when the machine crashes. */
export type TornKeep = (unsyncedBytes: number) => number;

function concat(a: Uint8Array, b: Uint8Array): Uint8Array {
  const joined = new Uint8Array(a.length + b.length);
  joined.set(a);
  joined.set(b, a.length);
  return joined;
}

/** See the module's comment. */
export class FakeDisk implements Disk {
  /** Operations until the crash; undefined for none. */
  crashAfter: number | undefined;
  /** Makes every write fail with this, as a full disk does. */
  failAppends: Error | null = null;
  /** Makes every sync fail without writing. */
  failSyncs = false;
  operations = 0;
  /** Called before each sync of a file; may hold it up. */
  onSync: (name: string) => Promise<void> = () => Promise.resolve();
  private crashed = false;
  private durableNames = new Map<string, FakeInode>();
  private names = new Map<string, FakeInode>();

  async list(): Promise<readonly string[]> {
    this.operate();
    return [...this.names.keys()];
  }

  async open(name: string): Promise<DiskFile> {
    this.operate();
    const inode = this.names.get(name) ?? {durable: new Uint8Array(), volatile: new Uint8Array()};
    this.names.set(name, inode);
    return {
      append: async (bytes) => {
        this.operate();
        if (this.failAppends !== null) {
          throw this.failAppends;
        }
        inode.volatile = concat(inode.volatile, bytes);
      },
      close: async () => {},
      read: async (offset, length) => inode.volatile.slice(offset, offset + length),
      sync: async () => {
        await this.onSync(name);
        this.operate();
        if (this.failSyncs) {
          throw new Error('the sync failed');
        }
        inode.durable = inode.volatile;
      },
    };
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    this.operate();
    return this.names.get(name)?.volatile.slice();
  }

  async remove(name: string): Promise<void> {
    this.operate();
    this.names.delete(name);
  }

  async rename(from: string, to: string): Promise<void> {
    this.operate();
    const inode = this.names.get(from)!;
    this.names.delete(from);
    this.names.set(to, inode);
  }

  async syncNames(): Promise<void> {
    this.operate();
    this.durableNames = new Map(this.names);
  }

  async truncate(name: string, length: number): Promise<void> {
    this.operate();
    const inode = this.names.get(name)!;
    inode.volatile = inode.volatile.slice(0, length);
    inode.durable = inode.durable.slice(0, length);
  }

  /**
   * Brings the machine back: what was not synced is gone, but for a torn part.
   *
   * @param tornKeep how many unsynced bytes at a file's end stay
   */
  restart(tornKeep: TornKeep = () => 0): void {
    this.crashed = false;
    this.crashAfter = undefined;
    this.names = new Map(this.durableNames);
    for (const inode of this.names.values()) {
      const unsynced = inode.volatile.length - inode.durable.length;
      const kept = unsynced > 0 ? Math.min(unsynced, tornKeep(unsynced)) : 0;
      const end = inode.durable.length + kept;
      inode.durable = inode.volatile.length >= end ? inode.volatile.slice(0, end) : inode.durable;
      inode.volatile = inode.durable;
    }
  }

  /**
   * Flips one byte, as bad media would.
   *
   * @param name the file
   * @param offset which byte
   */
  flip(name: string, offset: number): void {
    const inode = this.names.get(name)!;
    const bytes = inode.volatile.slice();
    bytes[offset] = bytes[offset]! ^ 0xff;
    inode.volatile = bytes;
    inode.durable = bytes;
  }

  /**
   * Size of a file, in bytes.
   *
   * @param name the file
   */
  sizeOf(name: string): number {
    return this.names.get(name)?.volatile.length ?? 0;
  }

  private operate(): void {
    if (this.crashed) {
      throw new FakeCrashError();
    }
    this.operations++;
    if (this.crashAfter !== undefined && this.crashAfter-- <= 0) {
      this.crashed = true;
      throw new FakeCrashError();
    }
  }
}
