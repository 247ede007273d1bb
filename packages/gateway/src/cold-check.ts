import type {Clock} from '@banyandrum/base/clock.js';
import {isCold, type Backend} from '@banyandrum/dispatch/backend.js';
import {readLimit, type WireNames} from '@banyandrum/dispatch/wire.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';

/** Asks servers whether they are cold while the list can't be read. */
export interface ColdCheck {
  /** Call with each answer, before it counts in the server's service time. */
  noteAnswer(backend: Backend, tookMs: number): void;
}

/** Dependencies of `createColdCheck`. */
export interface ColdCheckConfig {
  readonly clock: Pick<Clock, 'now'>;
  readonly names: Pick<WireNames, 'coldMs'>;
  serviceConfig(service: string): ServiceConfig | undefined;
  /** Time since the platform confirmed the list of servers, in ms. */
  listAgeMs(): number;
  /**
   * Interval at which the list should be read, in ms; a server is asked as often
   * at most.
   */
  listReadMs(): number;
  /** Header fields of the answer of its health endpoint; null if none came. */
  askHealth(
    backend: Backend,
    path: string,
  ): Promise<ReadonlyMap<string, string> | null>;
  /** Called with the remaining time for which the server is cold, in ms. */
  noteCold(server: string, coldMs: number): void;
}

/** The list is late after this many times the interval of its reads. */
const LATE_LIST_FACTOR = 2;
/** An answer is slow from this multiple of the usual time on. */
const SLOW_FACTOR = 1.5;
/** Limit of servers that are asked at the same time. */
const MAX_CONCURRENT = 8;
/** Longer cold times are taken for faults of the server, in ms. */
const MAX_COLD_MS = 60_000;

/**
 * Creates the check. It answers the load of a warm server that turns cold while
 * the platform's store is down: nobody reads its entry then, and it would crash. An
 * answer that took long is a reason to ask, no proof.
 *
 * @example
 * ```ts
 * const check = createColdCheck({clock, names, serviceConfig, ...rest});
 * check.noteAnswer(backend, 180);
 * ```
 */
export function createColdCheck(cfg: ColdCheckConfig): ColdCheck {
  const {clock} = cfg;
  const askedAt = new Map<string, number>();
  let pending = 0;

  const isDue = ({info, serviceMs}: Backend, tookMs: number): boolean =>
    serviceMs > 0 &&
    tookMs > serviceMs * SLOW_FACTOR &&
    pending < MAX_CONCURRENT &&
    clock.now() - (askedAt.get(info.id) ?? -Infinity) >= cfg.listReadMs() &&
    cfg.listAgeMs() > cfg.listReadMs() * LATE_LIST_FACTOR;

  const forgetOld = (): void => {
    const since = clock.now() - cfg.listReadMs();
    for (const [id, at] of askedAt) {
      if (at <= since) askedAt.delete(id);
    }
  };

  const ask = async (backend: Backend, path: string): Promise<void> => {
    forgetOld();
    askedAt.set(backend.info.id, clock.now());
    pending++;
    const fields = await cfg.askHealth(backend, path).finally(() => pending--);
    const coldMs = readLimit(fields?.get(cfg.names.coldMs) ?? '') ?? 0;
    if (coldMs > 0 && coldMs <= MAX_COLD_MS)
      cfg.noteCold(backend.info.id, coldMs);
  };

  return {
    noteAnswer(backend, tookMs) {
      const service = cfg.serviceConfig(backend.info.service);
      if (!service || service.coldPerSecond === null) return;
      if (service.healthPath === undefined) return;
      if (isCold(backend, clock.now()) || !isDue(backend, tookMs)) return;
      void ask(backend, service.healthPath);
    },
  };
}
