import type {Clock} from '@banyandrum/base/clock.js';
import {createLogger} from '@banyandrum/base/logger.js';
import {createStateStore} from '@banyandrum/config/log-store.js';
import type {Settings} from '@banyandrum/config/settings.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {createHostListClient} from '@banyandrum/hosts/http-client.js';
import {createHostWatch, type HostWatch} from '@banyandrum/hosts/watch.js';
import {createLogClient} from '@banyandrum/log/http-client.js';

const MAX_RECORD_BYTES = 1024 * 1024;
const HOST_LIST_TIMEOUT_MS = 1_000;

/**
 * This process's reading of the platform's log.
 *
 * @example
 * ```ts
 * const store = openStore(settings, clock);
 * ```
 */
export function openStore(settings: Settings, clock: Clock): StateStore {
  const {address, stream, timeoutMs, retentionMs} = settings.log;
  return createStateStore({
    client: createLogClient({
      address,
      stream,
      timeoutMs,
      maxRecordBytes: MAX_RECORD_BYTES,
      clock,
    }),
    clock,
    log: createLogger('config'),
    retentionMs,
  });
}

/** The watch of the platform's host list; it polls once it runs. */
export function openHostWatch(settings: Settings, clock: Clock): HostWatch {
  const {address, pollMs} = settings.hostList;
  return createHostWatch({
    client: createHostListClient({
      address,
      timeoutMs: HOST_LIST_TIMEOUT_MS,
      clock,
    }),
    pollMs,
    clock,
    log: createLogger('hosts'),
  });
}
