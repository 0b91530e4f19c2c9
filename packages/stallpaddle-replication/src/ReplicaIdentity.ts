/**
 * Replica id of this VM's disk, generated when the disk is first used.
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
 * Reads the replica id of a disk, or generates one for an empty disk. A replaced disk gets a new id, so that it never
 * votes under the id of the lost one.
 *
 * @param disk data folder
 * @param vm id of this VM
 * @param first incarnation for an empty disk, if the other replicas must know the id in advance
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
