/**
 * HTTP client for the load generator, the command line, demos and tests.
 */
import {Agent, request} from 'node:http';

/** Target and content of an HTTP request. */
export interface ServerCall {
  readonly agent?: Agent;
  readonly body?: Uint8Array | string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly host: string;
  /** API key, sent as a bearer token. */
  readonly key?: string;
  readonly method?: string;
  readonly path: string;
  readonly port: number;
  readonly signal?: AbortSignal;
  /** Maximum time without traffic on the connection, in milliseconds; 0 means no limit. */
  readonly timeoutMs?: number;
}

/** A complete response and the time until the first byte of its body. */
export interface ServerAnswer {
  readonly firstByteMs: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly status: number;
  readonly text: string;
}

const sharedAgent = new Agent({keepAlive: true, maxSockets: 1024});

/**
 * Sends a request and buffers the response. Rejects when the connection fails, times out or closes before the
 * response is complete.
 *
 * @param call request to send
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
    req.on('timeout', () =>
      req.destroy(new Error(`no data on the connection for ${timeoutMs} ms`)),
    );
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
          reject(new Error('the connection closed before the response was complete'));
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
