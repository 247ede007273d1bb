import type {Operator, Role} from '@banyandrum/base/access.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {LogLevel} from '@banyandrum/base/logger.js';
import type {Result} from '@banyandrum/base/result.js';
import type {
  AttestationRequest,
  AuditMessage,
  ChangeAccepted,
  DrainRequest,
  ExplainMessage,
  HistoryMessage,
  PublicationMessage,
  PublishRequest,
  StateMessage,
  StatusMessage,
  WatchEvent,
} from './messages.js';

export type {Operator, Role};

export type OperatorErrorKind =
  /** The content is wrong; `problems` says where. */
  | 'invalid'
  /** Another publication is in force than the one it is based on. */
  | 'conflict'
  /** It may have been accepted; the change id tells later. */
  | 'unknown'
  | 'not-found'
  /** Nothing was changed; worth trying again. */
  | 'unavailable'
  | 'forbidden';

export interface OperatorError {
  readonly kind: OperatorErrorKind;
  /** One line for people. */
  readonly detail: string;
  readonly problems?: readonly string[];
  /** The version in force, on a conflict. */
  readonly inForce?: Offset;
}

export type OperatorResult<T> = Promise<Result<T, OperatorError>>;

/**
 * What the operators' interface can do; the router implements it. A change
 * that is repeated with its change id yields the first one's outcome.
 */
export interface OperatorActions {
  state(): OperatorResult<StateMessage>;
  /** `not-found` before the first publication. */
  publication(): OperatorResult<PublicationMessage>;
  publish(
    operator: Operator,
    req: PublishRequest,
  ): OperatorResult<ChangeAccepted>;
  change(changeId: string): OperatorResult<AuditMessage>;
  /** The newest entries, newest first. */
  history(limit: number): OperatorResult<HistoryMessage>;
  drain(operator: Operator, req: DrainRequest): OperatorResult<ChangeAccepted>;
  attest(
    operator: Operator,
    req: AttestationRequest,
  ): OperatorResult<ChangeAccepted>;
  status(): OperatorResult<StatusMessage>;
  explain(service: string, key: string): OperatorResult<ExplainMessage>;
  /** Of this process alone, until it ends. */
  setLogLevel(operator: Operator, level: LogLevel): OperatorResult<LogLevel>;
  /** Ends when the signal aborts; it may drop events between two reads. */
  watch(signal: AbortSignal): AsyncIterable<WatchEvent>;
}
