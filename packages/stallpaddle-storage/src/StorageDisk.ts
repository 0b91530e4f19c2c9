/**
 * File operations for durable state, kept to a small interface so that tests can inject every failure.
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

/** An open append-only file. */
export interface DiskFile {
  readonly append: (bytes: Uint8Array) => Promise<void>;
  readonly close: () => Promise<void>;
  /** Returns fewer bytes than requested at the end of the file. */
  readonly read: (offset: number, length: number) => Promise<Uint8Array>;
  /** Writes bytes again that the file already holds at an offset. */
  readonly rewrite: (offset: number, bytes: Uint8Array) => Promise<void>;
  /** Makes all written data durable. */
  readonly sync: () => Promise<void>;
}

/** A directory of files. Names have no path separators. */
export interface Disk {
  readonly list: () => Promise<readonly string[]>;
  /** Opens a file for reading and appending, and creates it if it does not exist. */
  readonly open: (name: string) => Promise<DiskFile>;
  /** Reads a whole file; returns undefined if it does not exist. */
  readonly read: (name: string) => Promise<Uint8Array | undefined>;
  readonly remove: (name: string) => Promise<void>;
  readonly rename: (from: string, to: string) => Promise<void>;
  /** Makes created, renamed and removed names durable. */
  readonly syncDirectory: () => Promise<void>;
  readonly truncate: (name: string, length: number) => Promise<void>;
}

function wrapHandle(handle: FileHandle, size: number): DiskFile {
  let end = size;
  const write = async (offset: number, bytes: Uint8Array): Promise<void> => {
    const {bytesWritten} = await handle.write(bytes, 0, bytes.length, offset);
    if (bytesWritten !== bytes.length) {
      throw new Error(`short write: ${bytesWritten} of ${bytes.length} bytes`);
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

function isNotFound(err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'ENOENT';
}

/**
 * Opens a directory of the file system, and creates it if it does not exist.
 *
 * @param directory path of the directory
 */
export async function openDisk(directory: string): Promise<Disk> {
  await mkdir(directory, {recursive: true});
  const pathOf = (name: string): string => path.join(directory, name);
  const syncPath = async (target: string): Promise<void> => {
    const handle = await open(target, constants.O_RDONLY);
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  };
  // The directory's own entry must be durable too.
  await syncPath(path.dirname(path.resolve(directory)));
  return {
    list: () => readdir(directory),
    open: async (name) => {
      const handle = await open(pathOf(name), constants.O_RDWR | constants.O_CREAT, 0o600);
      return wrapHandle(handle, (await handle.stat()).size);
    },
    read: async (name) => {
      try {
        return await readFile(pathOf(name));
      } catch (err) {
        if (isNotFound(err)) {
          return undefined;
        }
        throw err;
      }
    },
    remove: (name) => rm(pathOf(name), {force: true}),
    rename: (from, to) => rename(pathOf(from), pathOf(to)),
    syncDirectory: () => syncPath(directory),
    truncate: (name, length) => truncate(pathOf(name), length),
  };
}

/**
 * Replaces a file atomically: after a crash it holds either the old content or the new.
 *
 * @param disk directory of the file
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
