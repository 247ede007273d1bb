import type {Backends} from '@banyandrum/dispatch/backends.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import type {Evacuations} from './evacuations.js';
import type {Settings} from './settings.js';

/** Durations in the settings that an evacuation depends on. */
type EvacuationSettings = Pick<Settings, 'dataCentres' | 'configuration'>;

/** Dependencies of `evacuateBackends`. */
export interface EvacuateBackendsConfig {
  readonly evacuations: Pick<Evacuations, 'current' | 'subscribe'>;
  readonly backends: Backends;
  readonly settings: EvacuationSettings;
  serviceConfig(service: string): ServiceConfig | undefined;
  /** Called after the servers of a data centre were taken out or back. */
  onChange(): void;
}

/** Share of the time left that is used for requests to owned keys. */
const OWNED_KEYS_SHARE = 0.8;

/**
 * How long keys may be served in an evacuated data centre while they move, in
 * ms. It counts from when a router knows of the evacuation, for which it has as
 * long as for a configuration; a fifth remains for requests under way.
 *
 * @example
 * ```ts
 * backends.setEvacuated(dataCentres, {ownedKeysMs: ownedKeysMsOf(settings)});
 * ```
 */
export function ownedKeysMsOf({
  dataCentres,
  configuration,
}: EvacuationSettings): number {
  const leftMs = dataCentres.evacuateWithinMs - configuration.applyWithinMs;
  return Math.max(0, leftMs * OWNED_KEYS_SHARE);
}

/**
 * Takes the servers of evacuated data centres out of use, and back.
 *
 * @example
 * ```ts
 * evacuateBackends({evacuations, backends, settings, serviceConfig, onChange});
 * ```
 */
export function evacuateBackends({
  evacuations,
  backends,
  settings,
  serviceConfig,
  onChange,
}: EvacuateBackendsConfig): void {
  const timing = {
    ownedKeysMs: ownedKeysMsOf(settings),
    coldMsOf: (service: string) => serviceConfig(service)?.coldMs ?? 0,
  };
  evacuations.subscribe(() => {
    backends.setEvacuated(evacuations.current(), timing);
    onChange();
  });
}
