import type {CancelTimer, Clock} from '@banyandrum/base/clock.js';

/** Tells when nothing has been heard for too long. */
export interface Watch {
  /** Notes a sign of life. */
  heard(): void;
  stop(): void;
}

export interface WatchOptions {
  readonly clock: Clock;
  readonly heartbeatMs: number;
  readonly silentMs: number;
  /** Called at each interval, to send a heartbeat. */
  readonly onBeat: () => void;
  /** Called once for each silence. */
  readonly onSilent: () => void;
}

/**
 * Watches one stream.
 *
 * @example
 * ```ts
 * const watch = createWatch({clock, heartbeatMs: 250, silentMs: 750, ...});
 * watch.heard(); // at any frame
 * ```
 */
export function createWatch(options: WatchOptions): Watch {
  const {clock, heartbeatMs, silentMs, onBeat, onSilent} = options;
  let heardAt = clock.now();
  let beatAt = heardAt + heartbeatMs;
  let silent = false;
  let stopped = false;
  let cancel: CancelTimer = () => {};

  const arm = (): void => {
    if (stopped) return;
    const wakeAt = silent ? beatAt : Math.min(beatAt, heardAt + silentMs);
    const delay = Math.max(1, wakeAt - clock.now());
    cancel = clock.after(delay, () => onWake(wakeAt));
  };

  const onWake = (wakeAt: number): void => {
    const now = clock.now();
    // A late timer means that this process stood still, not that the other
    // side was silent: what it sent may wait unread. So it gets a full term.
    if (now - wakeAt >= heartbeatMs) heardAt = now;
    if (now >= beatAt) {
      beatAt = now + heartbeatMs;
      onBeat();
    }
    if (!silent && now - heardAt >= silentMs) setImmediate(judge);
    else arm();
  };

  // Runs after what has arrived by now was read.
  const judge = (): void => {
    if (stopped) return;
    if (clock.now() - heardAt >= silentMs) {
      silent = true;
      onSilent();
    }
    arm();
  };

  arm();
  return {
    heard() {
      heardAt = clock.now();
      silent = false;
    },
    stop() {
      stopped = true;
      cancel();
    },
  };
}
