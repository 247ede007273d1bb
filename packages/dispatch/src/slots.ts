import type {CancelSignal} from '@banyandrum/base/cancel.js';

/** Request for a slot: permission to send one request to a server. */
export interface SlotRequest {
  /** Id of the request, for the log. */
  readonly id: string;
  readonly service: string;
  /** Null if any server of the service may run it. */
  readonly key: number | null;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Time to the deadline for the answer, in ms. */
  readonly leftMs: number;
  /** Time left to meet the target latency, in ms; may be negative. */
  readonly aimLeftMs: number;
  /** Time since the caller's first request, earlier ones included, in ms. */
  readonly askedMs: number;
  /** Servers not to be chosen: an attempt there failed, or they are resting. */
  readonly excluded: readonly string[];
  /**
   * Content digest of a suspected request, which is sent as a trial: to one
   * server at a time, and to none that runs another trial.
   */
  readonly trial?: string;
  /** Hash of the request's route; absent if times aren't kept by route. */
  readonly kind?: number;
  /** Hash of the caller's address; absent if callers aren't told apart. */
  readonly caller?: number;
  /** Data centre of the requesting router. */
  readonly dataCentre: string;
}

/** Outcome of a request that had a slot. */
export type SlotOutcome =
  | 'answered'
  /** The server answered with an error. */
  | 'failed'
  /** The server didn't run it. */
  | 'refused'
  /** The server didn't run it because it doesn't hold the key. */
  | 'not-held'
  /** No complete answer was received. */
  | 'lost'
  /** The request was not written to the server. */
  | 'unreached'
  /** The router can't reach the server, which says nothing of the server. */
  | 'cut-off'
  | 'cancelled';

/** Reply to a slot request. */
export type SlotReply =
  | {
      readonly kind: 'granted';
      readonly server: string;
      readonly waitedMs?: number;
    }
  /** The request can't be answered in time. */
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      /**
       * Whether no server owns its key; otherwise, eligible servers are busy.
       */
      readonly isUnheld: boolean;
      /** See `SlotResult`. */
      readonly waitedMs?: number;
    }
  /** No leader is available; the router chooses a server itself. */
  | {readonly kind: 'unavailable'};

/** An allocated slot, or the reason why there is none. */
export type SlotResult =
  | {
      readonly kind: 'granted';
      readonly server: string;
      /**
       * How long the request waited at the leader for a server, in ms; absent
       * if this router leads, and from earlier versions of the program.
       */
      readonly waitedMs?: number;
      /**
       * Releases the slot; must be called once. `slowdown` is that of the
       * server's machine, if it was reported and is of use.
       */
      release(outcome: SlotOutcome, tookMs: number, slowdown?: number): void;
    }
  | Exclude<SlotReply, {kind: 'granted'}>;

/** Source of slots for this router's requests. */
export interface SlotProvider {
  /** Waits for a slot; never rejects. */
  acquire(req: SlotRequest, signal: CancelSignal): Promise<SlotResult>;
}
