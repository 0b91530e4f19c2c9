/**
 * The few file operations that durable state needs, narrow enough to be faked with every failure.
 */
import {constants} from 'node:fs';
import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  truncate,
} from 'node:fs/promises';
import path from 'node:path';

/** An open file that grows at its end. */
export interface DiskFile {
  readonly append: (bytes: Uint8Array) => Promise<void>;
  readonly close: () => Promise<void>;
  /** Returns fewer bytes than asked for at the file's end. */
  readonly read: (offset: number, length: number) => Promise<Uint8Array>;
  /** Writes bytes once more that stand at a place already. */
  readonly rewrite: (offset: number, bytes: Uint8Array) => Promise<void>;
  /** Resolves once all that was appended is on the disk. */
  readonly sync: () => Promise<void>;
}

/** One folder on one disk. Names have no separators. */
export interface Disk {
  readonly list: () => Promise<readonly string[]>;
  /** Opens a file for reading and appending; makes it when it is missing. */
  readonly open: (name: string) => Promise<DiskFile>;
  /** Whole content, or undefined when there is no such file. */
  readonly read: (name: string) => Promise<Uint8Array | undefined>;
  readonly remove: (name: string) => Promise<void>;
  readonly rename: (from: string, to: string) => Promise<void>;
  /** Makes names that were added, renamed or removed last. */
  readonly syncDirectory: () => Promise<void>;
  readonly truncate: (name: string, length: number) => Promise<void>;
}

function fileOf(handle: FileHandle, size: number): DiskFile {
  let end = size;
  const write = async (offset: number, bytes: Uint8Array): Promise<void> => {
    const {bytesWritten} = await handle.write(bytes, 0, bytes.length, offset);
    if (bytesWritten !== bytes.length) {
      throw new Error(`wrote ${bytesWritten} of ${bytes.length} bytes`);
    }
  };
  return {
    append: async (bytes) => {
      await write(end, bytes);
      end += bytes.length;
    },
    close: () => handle.close(),
    read: async (offset, length) => {
      const buffer = new Uint8Array(length);
      const {bytesRead} = await handle.read(buffer, 0, length, offset);
      return buffer.subarray(0, bytesRead);
    },
    rewrite: write,
    sync: () => handle.datasync(),
  };
}

function isMissing(err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ENOENT';
}

/**
 * Opens a folder of the machine's file system; makes it when it is missing.
 *
 * @param folder path of the folder
 */
export async function openDisk(folder: string): Promise<Disk> {
  await mkdir(folder, {recursive: true});
  const at = (name: string): string => path.join(folder, name);
  const syncFolder = async (target: string): Promise<void> => {
    const handle = await open(target, constants.O_RDONLY);
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  };
  // The folder's own name must last too.
  await syncFolder(path.dirname(path.resolve(folder)));
  return {
    list: () => readdir(folder),
    open: async (name) => {
      const handle = await open(at(name), constants.O_RDWR | constants.O_CREAT, 0o600);
      return fileOf(handle, (await handle.stat()).size);
    },
    read: async (name) => {
      try {
        return await readFile(at(name));
      } catch (err) {
        if (isMissing(err)) {
          return undefined;
        }
        throw err;
      }
    },
    remove: (name) => rm(at(name), {force: true}),
    rename: (from, to) => rename(at(from), at(to)),
    syncDirectory: () => syncFolder(folder),
    truncate: (name, length) => truncate(at(name), length),
  };
}

/**
 * Replaces a small file so that a crash leaves the old content or the new, never a mix.
 *
 * @param disk folder that holds the file
 * @param name the file's name
 * @param bytes new content
 */
export async function replaceFile(disk: Disk, name: string, bytes: Uint8Array): Promise<void> {
  const temporary = `${name}.tmp`;
  await disk.remove(temporary);
  const file = await disk.open(temporary);
  try {
    await file.append(bytes);
    await file.sync();
  } finally {
    await file.close();
  }
  await disk.rename(temporary, name);
  await disk.syncDirectory();
}
