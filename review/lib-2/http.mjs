/** HTTP calls of the stand-ins for clients, servers and the operator. */
import {request} from 'node:http';

/**
 * Makes one call on a connection of its own.
 *
 * @returns status 0 when there was no whole response
 */
export function call({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs = 1_000,
  onData,
}) {
  return new Promise((resolve) => {
    let text = '';
    const req = request({agent: false, headers, host, method, path, port});
    const end = (status, extra = {}) => {
      clearTimeout(timer);
      resolve({headers: {}, status, text, ...extra});
    };
    const timer = setTimeout(() => {
      req.destroy();
      end(0, {why: 'time'});
    }, timeoutMs);
    req.on('error', (err) => end(0, {why: err.code ?? err.message}));
    req.on('response', (res) => {
      res.setEncoding('utf8');
      res.on('data', (chunk) => {
        text += chunk;
        onData?.(chunk, res);
      });
      res.on('error', () => end(0, {partial: res.statusCode, why: 'broken'}));
      res.on('close', () => {
        if (res.complete) {
          end(res.statusCode, {headers: res.headers});
        } else {
          end(0, {partial: res.statusCode, why: 'broken'});
        }
      });
    });
    req.end(body);
  });
}
