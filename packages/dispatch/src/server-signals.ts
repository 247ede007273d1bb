import {reportsLeaving, type CompletedAttempt} from './completed-attempt.js';
import {noteLimit, type ServerLimits} from './server-limits.js';
import {noteRetryAfter, type ServerRests} from './server-rests.js';
import type {WireNames} from './wire.js';

/** What records the signals that servers send in their answers. */
export interface ServerSignalsConfig {
  readonly names: WireNames;
  readonly limits: ServerLimits;
  readonly rests: ServerRests;
  /** Called when an answer reports that its server is shutting down. */
  readonly noteLeaving: (server: string) => void;
}

/**
 * Records what the answer says of its server: a request limit, a rest period,
 * or that it is shutting down.
 *
 * @example
 * ```ts
 * noteServerSignals(cfg, {server: backend.info.id, sentAt, result});
 * ```
 */
export function noteServerSignals(
  {names, limits, rests, noteLeaving}: ServerSignalsConfig,
  completed: CompletedAttempt,
): void {
  noteLimit(limits, names, completed);
  noteRetryAfter(rests, names, completed);
  if (reportsLeaving(names, completed)) noteLeaving(completed.server);
}
