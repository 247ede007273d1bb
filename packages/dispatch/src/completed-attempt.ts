import type {Answer, AttemptResult} from './attempt.js';
import {isOtherServer} from './server-instance.js';
import type {WireNames} from './wire.js';

/** A request or a lease call that was sent to a server, and its result. */
export interface CompletedAttempt {
  /** Id of the server instance that it was sent to. */
  readonly server: string;
  /** Monotonic time at which it was sent, in ms. */
  readonly sentAt: number;
  readonly result: AttemptResult;
}

/**
 * Returns the header fields of the server's answer, even if it is incomplete;
 * null if a different server answered at its address.
 */
export function answerFields(
  names: WireNames,
  {server, result}: CompletedAttempt,
): Answer['fields'] | null {
  const fields =
    result.kind === 'answered' ? result.answer.fields : result.fields;
  return isOtherServer(server, fields.get(names.serverId)) ? null : fields;
}

/** Whether the answer's headers report that its server is shutting down. */
export function reportsLeaving(
  names: WireNames,
  attempt: CompletedAttempt,
): boolean {
  return answerFields(names, attempt)?.get(names.leaving)?.trim() === '1';
}
