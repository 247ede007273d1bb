import type {Clock} from '@banyandrum/base/clock.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {startConfigReader} from './config-reader.js';
import {toWireConfig, type WireConfig} from './link-config.js';
import type {Evacuations} from './evacuations.js';
import type {ConfigRead, Platform} from './platform.js';
import type {StoreReads} from './store-contact.js';

/** How up to date this router's configuration is. */
export interface ConfigStatus {
  /** Time since it was last confirmed that nothing is newer, in ms. */
  readonly ageMs: number;
  /** What confirmed it last; null while nothing has. */
  readonly confirmedBy: ConfigSource | null;
  /** How long the longest pending read has taken, in ms; 0 without one. */
  readonly readMs: number;
}

/** An own read of the platform, or the address of the leader that relayed. */
export type ConfigSource = 'read' | `leader ${string}`;

/** What a leader knows of the platform's log, without the configuration. */
export interface RelayedPosition {
  /** Up to where it was read. */
  readonly cursor: number;
  /**
   * The newest version there; null if there is a newer one that the leader can't
   * decode.
   */
  readonly version: number | null;
  /** The data centres that are evacuated. */
  readonly evacuated: readonly string[];
}

/** Keeps the newest configuration that this router knows. */
export interface ConfigKeeper {
  current(): RoutingConfig | null;
  /** Another router has read up to `cursor`: reads at once if that is newer. */
  onCursorAnnounced(cursor: number): void;
  /**
   * Applies a version that the leader relayed, which it read up to `cursor`.
   */
  applyRelayed(config: RoutingConfig, cursor: number, leader: string): void;
  /**
   * Applies the data centres that are evacuated as of `position`, which the
   * leader relayed. Returns whether this router then knows all that the leader
   * does.
   */
  applyRelayedPosition(position: RelayedPosition, leader: string): boolean;
  /**
   * Applies the data centres that are evacuated as of `cursor`, which a follower
   * has read. A leader that can't read the platform allocates slots by them.
   */
  applyReported(
    cursor: number,
    dataCentres: readonly string[],
    follower: string,
  ): void;
  /**
   * The leader confirmed `ageMs` ago that the log ends at this router's cursor.
   */
  confirmRelayed(ageMs: number, leader: string): void;
  status(): ConfigStatus;
  /** Up to where the platform's log was read; null before the first read. */
  cursor(): number | null;
  /** The newest version in wire format; null while none is known. */
  wireConfig(): WireConfig | null;
  /** What followers learn with each message; null before the first read. */
  position(): RelayedPosition | null;
  /**
   * Time as of which the platform's log is known to end at `cursor`, in ms
   * before now.
   */
  cursorAgeMs(): number;
  subscribe(listener: () => void): void;
  stop(): void;
}

/** Dependencies of a configuration keeper. */
export interface ConfigKeeperConfig {
  readonly platform: Pick<Platform, 'readConfig'>;
  readonly evacuations: Pick<
    Evacuations,
    'current' | 'missing' | 'applyRead' | 'applyRelayed'
  >;
  readonly clock: Clock;
  /** Monotonic time that also advances while the host is suspended, in ms. */
  suspendAwareNow(): number;
  readonly emit: Emit;
  /**
   * Whether a leader relays versions to this router, and has relayed all that
   * it knows.
   */
  isRelayed(): boolean;
  /** When reads are held back; never if absent. */
  readonly reads?: Pick<StoreReads, 'mayProbe' | 'subscribe'>;
}

interface Confirmation {
  /** Suspend-aware time as of which nothing newer existed, in ms. */
  readonly at: number;
  readonly by: ConfigSource | null;
}

const NEVER: Confirmation = {at: -Infinity, by: null};

/**
 * Reads the configuration until stopped. A version never replaces a newer one.
 * While a leader relays versions and its knowledge is recent, this router reads
 * nothing itself; see `config-reader.ts`.
 *
 * @example
 * ```ts
 * const keeper = createConfigKeeper({platform, clock, emit, ...});
 * keeper.current();
 * ```
 */
export function createConfigKeeper(cfg: ConfigKeeperConfig): ConfigKeeper {
  const {platform, evacuations, emit, suspendAwareNow} = cfg;
  let config: RoutingConfig | null = null;
  let cursor: number | null = null;
  /** Position after the record that `config` is from. */
  let configCursor = -Infinity;
  let wireConfig: WireConfig | null = null;
  let hasFailed = false;
  /** Position after a newer record that this router can't decode. */
  let unreadableCursor = -Infinity;
  /** When the log was last known to end at the cursor. */
  let cursorConfirmedAt = -Infinity;
  let lastConfirmation = NEVER;
  const listeners = new Set<() => void>();

  const isOutdated = (): boolean => unreadableCursor > configCursor;

  const confirm = (at: number, by: ConfigSource): void => {
    cursorConfirmedAt = Math.max(cursorConfirmedAt, at);
    if (isOutdated() || at < lastConfirmation.at) return;
    lastConfirmation = {at, by};
  };

  const status = (): ConfigStatus => ({
    ageMs: suspendAwareNow() - lastConfirmation.at,
    confirmedBy: lastConfirmation.by,
    readMs: reader.pendingMs(),
  });

  const apply = (
    next: RoutingConfig | null,
    nextCursor: number,
    by: ConfigSource,
  ): void => {
    if (next === null) return;
    configCursor = Math.max(configCursor, nextCursor);
    if (config !== null && next.version <= config.version) return;
    config = next;
    const ageMs = Math.round(status().ageMs);
    emit('config-taken', {version: next.version, cursor, by, ageMs});
    listeners.forEach(listener => listener());
  };

  const reportFailure = (detail: string): void => {
    if (!hasFailed) emit('config-unreadable', {detail});
    hasFailed = true;
  };

  const applyRead = (result: ConfigRead, asOf: number): void => {
    if (result.kind === 'failed') return reportFailure(result.detail);
    if (hasFailed) emit('config-readable', {cursor: result.cursor});
    hasFailed = false;
    // A read that was answered late may have been overtaken by another one.
    if (cursor !== null && result.cursor < cursor) return;
    cursor = result.cursor;
    if (result.unreadable !== null) {
      const detail = result.unreadable;
      emit('config-refused', {detail, cursor: result.cursor});
      unreadableCursor = result.cursor;
    }
    apply(result.config, result.cursor, 'read');
    if (result.evacuations !== undefined)
      evacuations.applyRead(result.evacuations);
    if (result.isAtEnd) confirm(asOf, 'read');
  };

  const reader = startConfigReader({
    ...cfg,
    read: waitMs => platform.readConfig(cursor, waitMs),
    applyRead,
    cursorAgeMs: () => suspendAwareNow() - cursorConfirmedAt,
  });

  return {
    current: () => config,
    onCursorAnnounced(other) {
      if (cursor === null || other > cursor) reader.expectChange();
    },
    applyRelayed(next, other, leader) {
      if (cursor === null || other > cursor) cursor = other;
      apply(next, other, `leader ${leader}`);
    },
    applyRelayedPosition(position, leader) {
      if (cursor !== null && position.cursor < cursor) return true;
      const knownVersion = config?.version ?? -1;
      const hasVersion =
        position.version !== null && knownVersion >= position.version;
      if (!hasVersion && cursor !== position.cursor) return false;
      cursor = position.cursor;
      evacuations.applyRelayed(position.evacuated, `leader ${leader}`);
      return true;
    },
    applyReported(other, dataCentres, follower) {
      if (cursor !== null && other <= cursor) return;
      evacuations.applyRelayed(dataCentres, `follower ${follower}`);
    },
    confirmRelayed(ageMs, leader) {
      confirm(suspendAwareNow() - ageMs, `leader ${leader}`);
    },
    status,
    cursor: () => cursor,
    wireConfig() {
      if (config === null) return null;
      if (wireConfig?.version !== config.version) {
        wireConfig = toWireConfig(config, configCursor);
      }
      return wireConfig;
    },
    position() {
      if (cursor === null || config === null) return null;
      const missing = evacuations.missing();
      const evacuated = [...evacuations.current()]
        .filter(each => !missing.has(each))
        .sort();
      // Without a version, routers at another position read the store.
      const mustRead = isOutdated() || missing.size > 0;
      return {cursor, version: mustRead ? null : config.version, evacuated};
    },
    cursorAgeMs: () => suspendAwareNow() - cursorConfirmedAt,
    subscribe: listener => void listeners.add(listener),
    stop: () => reader.stop(),
  };
}
