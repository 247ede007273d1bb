import {connect} from 'node:net';
import type {Backend} from './backend.js';
import type {ProbeResult} from './server-ends.js';

/** Hosts of one region answer within some ms, in ms. */
const PROBE_TIMEOUT_MS = 400;

/**
 * Opens a connection to the server's address and closes it again. A host whose
 * server ended refuses it; one without power, or behind a cut, says nothing.
 *
 * @example
 * ```ts
 * const end = await probeServer(backend);
 * ```
 */
export function probeServer({info}: Backend): Promise<ProbeResult> {
  const at = info.address.lastIndexOf(':');
  const host = info.address.slice(0, at);
  const port = Number(info.address.slice(at + 1));
  return new Promise(resolve => {
    const socket = connect({host, port});
    const finish = (end: ProbeResult): void => {
      socket.destroy();
      resolve(end);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => finish('silent'));
    socket.once('connect', () => finish('open'));
    socket.on('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
