import {connect} from 'node:net';
import type {Backend} from './backend.js';
import type {ProbeResult} from './crash-detector.js';

/** Probe timeout, in ms. Hosts in the same region answer within a few ms. */
const DEFAULT_TIMEOUT_MS = 400;

/**
 * Opens a connection to the server's address and closes it again. The host
 * refuses it if the server has terminated, and doesn't answer if it is without
 * power or unreachable.
 *
 * @example
 * ```ts
 * const result = await probeServer(backend);
 * ```
 */
export function probeServer(
  {info}: Backend,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<ProbeResult> {
  const separatorAt = info.address.lastIndexOf(':');
  const host = info.address.slice(0, separatorAt);
  const port = Number(info.address.slice(separatorAt + 1));
  return new Promise(resolve => {
    const socket = connect({host, port});
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMs, () => finish('silent'));
    socket.once('connect', () => finish('open'));
    socket.on('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
