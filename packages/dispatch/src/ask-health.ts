import {get} from 'node:http';
import {parseAddress} from '@banyandrum/base/address.js';
import type {Backend} from './backend.js';
import {isOtherServer} from './server-instance.js';
import type {WireNames} from './wire.js';

/** Header fields of the answer of a server's health endpoint. */
export type HealthFields = ReadonlyMap<string, string>;

/** Asks a server's health endpoint; null if there is no answer of this server. */
export type AskHealth = (
  backend: Backend,
  path: string,
) => Promise<HealthFields | null>;

/** Time limit for receiving the answer's header, in ms. */
const TIMEOUT_MS = 300;
/** Limit of the answer's header, in bytes; its body isn't read. */
const MAX_HEADER_BYTES = 8 * 1024;

/**
 * Asks the server's health endpoint, on a connection of its own. Resolves with the
 * header fields of its answer; null if there is none, or another server's.
 *
 * @example
 * ```ts
 * const fields = await askHealth(names, backend, '/health');
 * ```
 */
export function askHealth(
  names: WireNames,
  {info}: Backend,
  path: string,
): Promise<HealthFields | null> {
  const address = parseAddress(info.address);
  if (address === null) return Promise.resolve(null);
  return new Promise(resolve => {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const opts = {host: address.ip, port: address.port, path, signal};
    const limits = {agent: false, maxHeaderSize: MAX_HEADER_BYTES};
    const req = get({...opts, ...limits}, res => {
      const entries = Object.entries(res.headers);
      const fields = new Map(
        entries.map(([name, value]) => [name, String(value)]),
      );
      const isOther = isOtherServer(info.id, fields.get(names.serverId));
      resolve(isOther ? null : fields);
      res.on('error', () => undefined);
      res.destroy();
    });
    req.on('error', () => resolve(null));
    req.on('close', () => resolve(null));
  });
}
