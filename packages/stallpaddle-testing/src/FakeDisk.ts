/** An in-memory disk for tests of crash recovery. */
import type {Disk, DiskFile} from 'stallpaddle-storage';

/** Thrown by the operation at which the simulated machine crashes, and by all later ones until it restarts. */
export class FakeCrashError extends Error {
  override readonly name = 'FakeCrashError';
}

/** An unsynced change of a file's content. */
interface FakeChange {
  readonly apply: (content: Uint8Array, fraction: number) => Uint8Array;
  /** Whether a failed sync dropped the change: no later sync makes it durable. */
  dropped: boolean;
}

interface FakeInode {
  /** Content that survives a crash. */
  durable: Uint8Array;
  pending: FakeChange[];
  volatile: Uint8Array;
}

type Names = Map<string, FakeInode>;

/** An unsynced change of the directory. */
type FakeNameChange = (names: Names) => void;

/** Returns how many of a file's unsynced bytes survive a crash. */
export type TornKeep = (unsyncedBytes: number) => number;

/** Probability that a power loss drops all unsynced content. */
const DROP_ALL_PROBABILITY = 0.3;

/** Writes bytes at an offset; a gap before it is filled with zeros. */
function writeAt(content: Uint8Array, at: number, bytes: Uint8Array): Uint8Array {
  const written = new Uint8Array(Math.max(content.length, at + bytes.length));
  written.set(content);
  written.set(bytes, at);
  return written;
}

/** Truncates the content, or extends it with zeros. */
function withLength(content: Uint8Array, length: number): Uint8Array {
  return length <= content.length
    ? content.slice(0, length)
    : writeAt(content, length, new Uint8Array());
}

function writeChange(at: number, bytes: Uint8Array): FakeChange {
  const apply = (content: Uint8Array, fraction: number): Uint8Array =>
    writeAt(content, at, bytes.subarray(0, Math.floor(bytes.length * fraction)));
  return {apply, dropped: false};
}

/** Simulates a disk that can crash before any operation, tear or fail writes, fail syncs and lose power. */
export class FakeDisk implements Disk {
  /** Number of operations before the machine crashes; undefined for no crash. */
  crashAfter: number | undefined;
  /** Error with which every write fails, for example of a full disk; null for none. */
  failAppends: Error | null = null;
  /** Makes every sync fail; the changes that it covered are dropped and never become durable. */
  failSyncs = false;
  operations = 0;
  /** Called before each append to a file; may delay it, or fail it by throwing. */
  onAppend: (name: string) => Promise<void> = () => Promise.resolve();
  /** Called before each sync of a file; may delay it. */
  onSync: (name: string) => Promise<void> = () => Promise.resolve();
  /** Called before each write, sync and directory change takes effect; may delay it. */
  pause: (() => Promise<void>) | null = null;
  private crashed = false;
  private durableNames: Names = new Map();
  private names: Names = new Map();
  private pendingNames: FakeNameChange[] = [];
  /** Incremented when the process ends or the machine restarts: files opened before then fail. */
  private incarnation = 0;

  async list(): Promise<readonly string[]> {
    this.countOperation();
    return [...this.names.keys()];
  }

  async open(name: string): Promise<DiskFile> {
    this.countOperation();
    const known = this.names.get(name);
    const inode = known ?? {durable: new Uint8Array(), pending: [], volatile: new Uint8Array()};
    if (known === undefined) {
      this.changeNames((names) => names.set(name, inode));
    }
    return this.openFile(name, inode);
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    this.countOperation();
    return this.names.get(name)?.volatile.slice();
  }

  async remove(name: string): Promise<void> {
    await this.awaitPause();
    this.countOperation();
    if (this.names.has(name)) {
      this.changeNames((names) => names.delete(name));
    }
  }

  async rename(from: string, to: string): Promise<void> {
    await this.awaitPause();
    this.countOperation();
    const inode = this.names.get(from);
    if (inode === undefined) {
      throw new Error(`file ${from} does not exist`);
    }
    this.changeNames((names) => {
      names.delete(from);
      names.set(to, inode);
    });
  }

  async syncDirectory(): Promise<void> {
    const covered = this.pendingNames.length;
    await this.awaitPause();
    this.countOperation();
    const synced = this.pendingNames.splice(0, covered);
    synced.forEach((change) => change(this.durableNames));
  }

  async truncate(name: string, length: number): Promise<void> {
    await this.awaitPause();
    this.countOperation();
    const inode = this.names.get(name)!;
    inode.volatile = withLength(inode.volatile, length);
    inode.pending.push({
      apply: (content, fraction) => (fraction < 1 ? content : withLength(content, length)),
      dropped: false,
    });
  }

  /**
   * Restarts the machine: unsynced content is lost, except for a torn piece at the end of each file.
   *
   * @param tornKeep returns how many unsynced bytes of a file survive
   */
  restart(tornKeep: TornKeep = () => 0): void {
    this.restartWith(new Map(this.durableNames), ({durable, volatile}) => {
      const unsynced = Math.max(0, volatile.length - durable.length);
      const kept = unsynced > 0 ? Math.min(unsynced, tornKeep(unsynced)) : 0;
      return writeAt(durable, durable.length, volatile.slice(durable.length).slice(0, kept));
    });
  }

  /**
   * Simulates a power loss and a restart. Each unsynced write survives, is lost or is torn, or all of them are lost; each
   * unsynced change of the directory survives or is lost independently.
   *
   * @param random returns random numbers from 0 to below 1
   */
  losePower(random: () => number): void {
    const names = new Map(this.durableNames);
    this.pendingNames.filter(() => random() < 0.5).forEach((change) => change(names));
    const allDropped = random() < DROP_ALL_PROBABILITY;
    this.restartWith(names, ({durable, pending}) =>
      pending.reduce((content, change) => {
        const drawn = allDropped || change.dropped ? 0 : 3 * random();
        // The change is lost, torn or complete with equal probability.
        return drawn < 1 ? content : change.apply(content, Math.min(1, drawn - 1));
      }, durable),
    );
  }

  /** Ends the process that uses the disk: its open files fail from now on; the content stays. */
  endProcess(): void {
    this.incarnation++;
  }

  /**
   * Inverts one byte, to simulate corruption of the medium.
   *
   * @param name file name
   * @param offset offset of the byte
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
   * Returns the size of a file, in bytes.
   *
   * @param name file name
   */
  sizeOf(name: string): number {
    return this.names.get(name)?.volatile.length ?? 0;
  }

  /** Opens a file; appends continue at the end that the file had when it was opened. */
  private openFile(name: string, inode: FakeInode): DiskFile {
    const {incarnation} = this;
    let end = inode.volatile.length;
    let closed = false;
    const beginOperation = async (): Promise<void> => {
      this.checkOpen(incarnation, closed);
      await this.awaitPause();
      this.checkOpen(incarnation, closed);
      this.countOperation();
    };
    return {
      append: async (bytes) => {
        const at = end;
        await this.onAppend(name);
        await beginOperation();
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
        this.checkOpen(incarnation, closed);
        return inode.volatile.slice(offset, offset + length);
      },
      rewrite: async (offset, bytes) => {
        await beginOperation();
        if (this.failAppends !== null) {
          throw this.failAppends;
        }
        inode.volatile = writeAt(inode.volatile, offset, bytes);
        inode.pending.push(writeChange(offset, bytes));
      },
      sync: async () => {
        // A sync covers only what was written before it began.
        const covered = [...inode.pending];
        await this.onSync(name);
        await beginOperation();
        if (this.failSyncs) {
          covered.forEach((change) => {
            change.dropped = true;
          });
          throw new Error('the sync failed');
        }
        this.makeDurable(inode, covered);
      },
    };
  }

  private makeDurable(inode: FakeInode, covered: readonly FakeChange[]): void {
    const coversAll = inode.pending.every((change) => covered.includes(change) && !change.dropped);
    if (coversAll) {
      inode.durable = inode.volatile;
      inode.pending = [];
      return;
    }
    const stillPending = inode.pending.filter((change) => covered.includes(change));
    const synced = stillPending.filter(({dropped}) => !dropped);
    inode.durable = synced.reduce((content, change) => change.apply(content, 1), inode.durable);
    inode.pending = inode.pending.filter((change) => !synced.includes(change));
  }

  private restartWith(names: Names, contentOf: (inode: FakeInode) => Uint8Array): void {
    this.incarnation++;
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

  private async awaitPause(): Promise<void> {
    const {incarnation} = this;
    await this.pause?.();
    this.checkOpen(incarnation, false);
  }

  private checkOpen(incarnation: number, closed: boolean): void {
    if (incarnation !== this.incarnation) {
      throw new FakeCrashError();
    }
    if (closed) {
      throw new Error('the file is closed');
    }
  }

  private countOperation(): void {
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
