/**
 * Plain HTTP calls of the load tool, the command line, demos and tests.
 */
import {Agent, request} from 'node:http';

/** What a call sends. */
export interface ServerCall {
  readonly agent?: Agent;
  readonly body?: Uint8Array | string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly host: string;
  readonly key?: string;
  readonly method?: string;
  readonly path: string;
  readonly port: number;
  readonly signal?: AbortSignal;
  /** Longest silence of the server, in milliseconds. */
  readonly timeoutMs?: number;
}

/** A whole answer. */
export interface ServerAnswer {
  readonly firstByteMs: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly status: number;
  readonly text: string;
}

const sharedAgent = new Agent({keepAlive: true, maxSockets: 1024});

/**
 * Makes a call. Rejects when the answer breaks off.
 *
 * @param call what to send
 */
export function callServer(call: ServerCall): Promise<ServerAnswer> {
  const {agent = sharedAgent, body = '', headers, host, key, method = 'GET'} = call;
  const {path, port, signal, timeoutMs = 0} = call;
  return new Promise((resolve, reject) => {
    const startedAt = performance.now();
    const req = request({
      agent,
      headers: {
        ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
        'content-length': Buffer.byteLength(body),
        'content-type': 'application/json',
        ...headers,
      },
      host,
      method,
      path,
      port,
      ...(signal === undefined ? {} : {signal}),
      timeout: timeoutMs,
    });
    req.on('timeout', () => req.destroy(new Error(`no answer in ${timeoutMs} ms`)));
    req.on('error', reject);
    req.on('response', (res) => {
      let firstByteMs = 0;
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => {
        firstByteMs ||= performance.now() - startedAt;
        chunks.push(chunk);
      });
      res.on('error', reject);
      res.on('close', () => {
        if (!res.complete) {
          reject(new Error('the answer broke off'));
        }
      });
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        resolve({firstByteMs, headers: res.headers, status: res.statusCode ?? 0, text});
      });
    });
    req.end(body);
  });
}
