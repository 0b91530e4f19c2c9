/** The platform's list of VMs, which may be out of date. */
import type {VmId} from 'stallpaddle';

import {startDeadline} from 'stallpaddle';
import {HttpEngine, readBody} from 'stallpaddle-engine';
import {z} from 'zod';

import {PLATFORM_TIMEOUT_MS} from './VmConstants';

const MAX_LIST_BYTES = 1_048_576;
const HTTP_PORT = 80;

const listSchema = z.object({
  vms: z.array(z.object({id: z.string(), state: z.enum(['live', 'leaving'])})),
});

/**
 * Returns the VMs that the platform is about to remove.
 *
 * @param address URL of the list; the host must be an IP address
 */
export async function readPlatformList(address: string): Promise<readonly VmId[]> {
  const url = new URL(address);
  const deadline = startDeadline(PLATFORM_TIMEOUT_MS);
  const server = new HttpEngine(url.hostname, Number(url.port || HTTP_PORT));
  try {
    const response = await server.generate(
      {
        attemptId: '',
        body: new Uint8Array(),
        contentType: 'application/json',
        method: 'GET',
        path: url.pathname + url.search,
        repeatable: true,
        timeoutMs: PLATFORM_TIMEOUT_MS,
        work: 'online',
      },
      deadline.signal,
    );
    const text = (await readBody(response.body, MAX_LIST_BYTES)).toString();
    const {vms} = listSchema.parse(JSON.parse(text));
    return vms.filter(({state}) => state === 'leaving').map(({id}) => id);
  } finally {
    deadline.dispose();
  }
}
