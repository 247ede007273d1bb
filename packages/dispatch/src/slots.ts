import type {CancelSignal} from '@banyandrum/base/cancel.js';

/** A request that looks for a place at a server. */
export interface SlotRequest {
  /** The request's id, for the log. */
  readonly id: string;
  readonly service: string;
  /** Null where any server of the service may run it. */
  readonly key: number | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left until the caller must have its answer, in ms. */
  readonly leftMs: number;
  /** Time left until its answer is worth less, in ms; may be negative. */
  readonly aimLeftMs: number;
  /** For how long its caller has been asking, earlier requests included, in ms. */
  readonly askedMs: number;
  /** Servers that it was sent to in vain. */
  readonly excluded: readonly string[];
  /**
   * The digest of what it asks, where a server ended under it before: it is at
   * one server at a time, and beside no other of its kind.
   */
  readonly trial?: string;
  /** The asking router's data centre. */
  readonly dataCentre: string;
}

/** How a request at a place ended. */
export type SlotOutcome =
  | 'answered'
  /** The server failed it. */
  | 'failed'
  /** The server did not run it. */
  | 'refused'
  /** No whole answer. */
  | 'lost'
  /** Nothing was written. */
  | 'unreached'
  | 'cancelled';

/** What a request gets. */
export type SlotReply =
  | {readonly kind: 'granted'; readonly server: string}
  /** It can't be answered in time. */
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      /** Whether no server holds its key; else those that may run it are busy. */
      readonly isUnheld: boolean;
    }
  /** Nobody can tell; the router chooses by itself. */
  | {readonly kind: 'unavailable'};

/** A place at a server, or why there is none. */
export type SlotResult =
  | {
      readonly kind: 'granted';
      readonly server: string;
      /** Gives the place back; to be called once. */
      release(how: SlotOutcome, tookMs: number): void;
    }
  | Exclude<SlotReply, {kind: 'granted'}>;

/** Hands out the servers' slots. */
export interface SlotProvider {
  /** Waits for a place; never throws. */
  acquire(ask: SlotRequest, signal: CancelSignal): Promise<SlotResult>;
}
