/**
 * The platform's list of VMs, which lags behind reality.
 */
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
 * Reads which VMs the platform will take away.
 *
 * @param address URL of the list; the host must be an IP number
 */
export async function readPlatformList(address: string): Promise<readonly VmId[]> {
  const url = new URL(address);
  const deadline = startDeadline(PLATFORM_TIMEOUT_MS);
  const server = new HttpEngine(url.hostname, Number(url.port || HTTP_PORT));
  try {
    const answer = await server.generate(
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
    const text = (await readBody(answer.body, MAX_LIST_BYTES)).toString();
    const {vms} = listSchema.parse(JSON.parse(text));
    return vms.filter(({state}) => state === 'leaving').map(({id}) => id);
  } finally {
    deadline.dispose();
  }
}
