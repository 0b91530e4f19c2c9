/**
 * The name of this VM's disk as a replica, drawn when the disk was first used.
 */
import type {ReplicaId, VmId} from 'stallpaddle';
import type {Disk} from 'stallpaddle-storage';

import {randomBytes} from 'node:crypto';
import {replaceFile} from 'stallpaddle-storage';
import * as z from 'zod/mini';

const FILE_NAME = 'identity.json';
const INCARNATION_BYTES = 6;

const identitySchema = z.strictObject({incarnation: z.string(), vm: z.string()});

/**
 * Reads the disk's name, or draws one for an empty disk. A disk that was lost comes back under
 * another name, so that it never votes with the old one.
 *
 * @param disk data folder
 * @param vm this VM
 * @param first the name that an empty disk gets, where others must know it beforehand
 */
export async function loadIdentity(disk: Disk, vm: VmId, first?: string): Promise<ReplicaId> {
  const bytes = await disk.read(FILE_NAME);
  if (bytes !== undefined) {
    const identity = identitySchema.parse(JSON.parse(Buffer.from(bytes).toString()));
    if (identity.vm !== vm) {
      throw new Error(`the data folder belongs to VM ${identity.vm}, not to ${vm}`);
    }
    return `${vm}/${identity.incarnation}`;
  }
  const incarnation = first ?? randomBytes(INCARNATION_BYTES).toString('hex');
  await replaceFile(disk, FILE_NAME, Buffer.from(JSON.stringify({incarnation, vm})));
  return `${vm}/${incarnation}`;
}
