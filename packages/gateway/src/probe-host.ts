import {connect} from 'node:net';
import {parseAddress} from '@banyandrum/base/address.js';
import type {Clock} from '@banyandrum/base/clock.js';

/** What an attempt to connect to a router tells of it. */
export type HostState =
  /** Its host accepts connections; the process may be late or suspended. */
  | 'open'
  /** The host works and no process listens at the address. */
  | 'refused'
  /** The host has no power, or the path to it is cut. */
  | 'silent';

/** A connection within a region takes a few ms; a lost first packet, more. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Opens a connection to the router at `address`, `ip:port`, and closes it again.
 *
 * @example
 * ```ts
 * if ((await probeHost(clock, '10.1.0.18:7200')) === 'refused') succeed();
 * ```
 */
export function probeHost(clock: Clock, address: string): Promise<HostState> {
  const target = parseAddress(address);
  if (target === null) return Promise.resolve('silent');
  return new Promise(resolve => {
    const socket = connect({host: target.ip, port: target.port});
    const finish = (state: HostState): void => {
      cancelTimer();
      socket.destroy();
      resolve(state);
    };
    const cancelTimer = clock.after(CONNECT_TIMEOUT_MS, () => finish('silent'));
    socket.once('connect', () => finish('open'));
    socket.on('error', ({code}: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}
