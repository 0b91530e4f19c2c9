/**
 * A disk in memory that can crash between any two operations, tear writes, fail them or be lost.
 */
import type {Disk, DiskFile} from 'stallpaddle-storage';

/** Raised by every operation once the disk's machine has crashed, and by the one that crashes. */
export class FakeCrashError extends Error {
  override readonly name = 'FakeCrashError';
}

/** A change of a file's content that no sync has covered yet. */
interface FakeChange {
  readonly apply: (content: Uint8Array, part: number) => Uint8Array;
  /** A sync that failed gave it up: no later sync brings it to the disk. */
  givenUp: boolean;
}

interface FakeInode {
  /** Content that survives a crash. */
  durable: Uint8Array;
  pending: FakeChange[];
  volatile: Uint8Array;
}

type Names = Map<string, FakeInode>;

/** A change of the folder that no sync has covered yet. */
type FakeNameChange = (names: Names) => void;

/** What stays of bytes that were written but not synced when the machine crashes. */
export type TornKeep = (unsyncedBytes: number) => number;

/** Part of the losses of power that take all unsynced content. */
const ALL_GONE_PART = 0.3;

/** Writes bytes at a place; what lies before it and was never written reads as zeros. */
function writeAt(content: Uint8Array, at: number, bytes: Uint8Array): Uint8Array {
  const written = new Uint8Array(Math.max(content.length, at + bytes.length));
  written.set(content);
  written.set(bytes, at);
  return written;
}

/** Sets a length, as the file system does: a file that was shorter ends with zeros. */
function withLength(content: Uint8Array, length: number): Uint8Array {
  return length <= content.length
    ? content.slice(0, length)
    : writeAt(content, length, new Uint8Array());
}

function writeChange(at: number, bytes: Uint8Array): FakeChange {
  const apply = (content: Uint8Array, part: number): Uint8Array =>
    writeAt(content, at, bytes.subarray(0, Math.floor(bytes.length * part)));
  return {apply, givenUp: false};
}

/** See the module's comment. */
export class FakeDisk implements Disk {
  /** Operations until the crash; undefined for none. */
  crashAfter: number | undefined;
  /** Makes every write fail with this, as a full disk does. */
  failAppends: Error | null = null;
  /** Makes every sync fail without writing; what it should have written no later sync writes either. */
  failSyncs = false;
  operations = 0;
  /** Called before each write to a file; may hold it up, or fail it by throwing. */
  onAppend: (name: string) => Promise<void> = () => Promise.resolve();
  /** Called before each sync of a file; may hold it up. */
  onSync: (name: string) => Promise<void> = () => Promise.resolve();
  /** Called before each write, sync and change of names takes effect; may hold it up. */
  pause: (() => Promise<void>) | null = null;
  private crashed = false;
  private durableNames: Names = new Map();
  private names: Names = new Map();
  private pendingNames: FakeNameChange[] = [];
  /** Rises when the machine goes: files opened before it fail. */
  private start = 0;

  async list(): Promise<readonly string[]> {
    this.operate();
    return [...this.names.keys()];
  }

  async open(name: string): Promise<DiskFile> {
    this.operate();
    const known = this.names.get(name);
    const inode = known ?? {durable: new Uint8Array(), pending: [], volatile: new Uint8Array()};
    if (known === undefined) {
      this.changeNames((names) => names.set(name, inode));
    }
    return this.fileOf(name, inode);
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    this.operate();
    return this.names.get(name)?.volatile.slice();
  }

  async remove(name: string): Promise<void> {
    await this.hold();
    this.operate();
    if (this.names.has(name)) {
      this.changeNames((names) => names.delete(name));
    }
  }

  async rename(from: string, to: string): Promise<void> {
    await this.hold();
    this.operate();
    const inode = this.names.get(from);
    if (inode === undefined) {
      throw new Error(`there is no file ${from}`);
    }
    this.changeNames((names) => {
      names.delete(from);
      names.set(to, inode);
    });
  }

  async syncDirectory(): Promise<void> {
    const covered = this.pendingNames.length;
    await this.hold();
    this.operate();
    const last = this.pendingNames.splice(0, covered);
    last.forEach((change) => change(this.durableNames));
  }

  async truncate(name: string, length: number): Promise<void> {
    await this.hold();
    this.operate();
    const inode = this.names.get(name)!;
    inode.volatile = withLength(inode.volatile, length);
    inode.pending.push({
      apply: (content, part) => (part < 1 ? content : withLength(content, length)),
      givenUp: false,
    });
  }

  /**
   * Brings the machine back: what was not synced is gone, but for a torn part.
   *
   * @param tornKeep how many unsynced bytes at a file's end stay
   */
  restart(tornKeep: TornKeep = () => 0): void {
    this.comeBack(new Map(this.durableNames), ({durable, volatile}) => {
      const unsynced = Math.max(0, volatile.length - durable.length);
      const kept = unsynced > 0 ? Math.min(unsynced, tornKeep(unsynced)) : 0;
      return writeAt(durable, durable.length, volatile.slice(durable.length).slice(0, kept));
    });
  }

  /**
   * Takes the machine's power and brings it back. Of what no sync has covered each write is there, missing or torn, or
   * all are gone; each file that was made, renamed or removed without a sync of the folder is kept or lost by itself.
   *
   * @param chance draws numbers from 0 to below 1
   */
  losePower(chance: () => number): void {
    const names = new Map(this.durableNames);
    this.pendingNames.filter(() => chance() < 0.5).forEach((change) => change(names));
    const allGone = chance() < ALL_GONE_PART;
    this.comeBack(names, ({durable, pending}) =>
      pending.reduce((content, change) => {
        const drawn = allGone || change.givenUp ? 0 : 3 * chance();
        // There, torn and missing are as likely.
        return drawn < 1 ? content : change.apply(content, Math.min(1, drawn - 1));
      }, durable),
    );
  }

  /** Ends the process that uses the disk: its files fail from now on, and what it wrote stays as it is. */
  endProcess(): void {
    this.start++;
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
    inode.pending = [];
  }

  /**
   * Size of a file, in bytes.
   *
   * @param name the file
   */
  sizeOf(name: string): number {
    return this.names.get(name)?.volatile.length ?? 0;
  }

  /** An open file; like a real one it writes on from where the file ended when it was opened. */
  private fileOf(name: string, inode: FakeInode): DiskFile {
    const {start} = this;
    let end = inode.volatile.length;
    let closed = false;
    const use = async (): Promise<void> => {
      this.checkOpen(start, closed);
      await this.hold();
      this.checkOpen(start, closed);
      this.operate();
    };
    return {
      append: async (bytes) => {
        const at = end;
        await this.onAppend(name);
        await use();
        if (this.failAppends !== null) {
          throw this.failAppends;
        }
        end = at + bytes.length;
        inode.volatile = writeAt(inode.volatile, at, bytes);
        inode.pending.push(writeChange(at, bytes));
      },
      close: async () => {
        closed = true;
      },
      read: async (offset, length) => {
        this.checkOpen(start, closed);
        return inode.volatile.slice(offset, offset + length);
      },
      rewrite: async (offset, bytes) => {
        await use();
        if (this.failAppends !== null) {
          throw this.failAppends;
        }
        inode.volatile = writeAt(inode.volatile, offset, bytes);
        inode.pending.push(writeChange(offset, bytes));
      },
      sync: async () => {
        // A sync answers for what was written before it began, and for nothing else.
        const covered = [...inode.pending];
        await this.onSync(name);
        await use();
        if (this.failSyncs) {
          covered.forEach((change) => {
            change.givenUp = true;
          });
          throw new Error('the sync failed');
        }
        this.keep(inode, covered);
      },
    };
  }

  private keep(inode: FakeInode, covered: readonly FakeChange[]): void {
    const isAll = inode.pending.every((change) => covered.includes(change) && !change.givenUp);
    if (isAll) {
      inode.durable = inode.volatile;
      inode.pending = [];
      return;
    }
    const still = inode.pending.filter((change) => covered.includes(change));
    const lasting = still.filter(({givenUp}) => !givenUp);
    inode.durable = lasting.reduce((content, change) => change.apply(content, 1), inode.durable);
    inode.pending = inode.pending.filter((change) => !lasting.includes(change));
  }

  private comeBack(names: Names, contentOf: (inode: FakeInode) => Uint8Array): void {
    this.start++;
    this.crashed = false;
    this.crashAfter = undefined;
    this.names = names;
    this.durableNames = new Map(names);
    this.pendingNames = [];
    for (const inode of new Set(names.values())) {
      inode.durable = contentOf(inode);
      inode.volatile = inode.durable;
      inode.pending = [];
    }
  }

  private changeNames(change: FakeNameChange): void {
    change(this.names);
    this.pendingNames.push(change);
  }

  private async hold(): Promise<void> {
    const {start} = this;
    await this.pause?.();
    this.checkOpen(start, false);
  }

  private checkOpen(start: number, closed: boolean): void {
    if (start !== this.start) {
      throw new FakeCrashError();
    }
    if (closed) {
      throw new Error('the file is closed');
    }
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
