import {eject, type Backend} from './backend.js';
import type {Emit} from './events.js';
import type {SlotOutcome} from './slots.js';

/** Why a server is ejected. */
export interface EjectionEvidence {
  /** Id of the request that had no answer, for the log. */
  readonly id: string;
  readonly outcome: Extract<SlotOutcome, 'lost' | 'unreached'>;
  /** An attempt of this router, or a slot that any router released. */
  readonly by: 'attempt' | 'slot';
}

/**
 * Ejects the server and logs on which evidence.
 *
 * @example
 * ```ts
 * ejectServer(emit, backend, now, {id: 'r1', outcome: 'lost', by: 'slot'});
 * ```
 */
export function ejectServer(
  emit: Emit,
  backend: Backend,
  now: number,
  evidence: EjectionEvidence,
): void {
  const answerAgeMs = now - backend.lastAnswerAt;
  if (!eject(backend, now, evidence.outcome === 'lost')) return;
  emit('server-ejected', {
    server: backend.info.id,
    ...evidence,
    forMs: backend.ejectionMs,
    answerAgeMs: Number.isFinite(answerAgeMs) ? Math.round(answerAgeMs) : null,
  });
}
