import type {AttemptResult} from './attempt.js';
import type {ProbeResult} from './crash-detector.js';
import type {AttemptSignals} from './send-attempt.js';

/** One request to one server, to be sent by another router. */
export interface CarriedAttempt {
  /** Id of the server instance. */
  readonly server: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, without those set for each attempt. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Time limit for receiving the complete answer, in ms. */
  readonly withinMs: number;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
}

/** What became of an attempt that another router was asked to send. */
export type CarriedResult =
  | {
      readonly kind: 'sent';
      /** `ip:port` of the carrier. */
      readonly by: string;
      readonly result: AttemptResult;
    }
  /** The carrier can't reach the server either; the request was not sent. */
  | {readonly kind: 'unreachable'; readonly by: string}
  /** No carrier took the request; it was not sent. */
  | {readonly kind: 'unavailable'};

/**
 * Other routers that send attempts to servers which this router can't reach. A
 * carrier sends them on its own connections only, so there is no second detour.
 */
export interface Carriers {
  /** Whether a router is known that may take an attempt. */
  isAvailable(): boolean;
  send(
    attempt: CarriedAttempt,
    signals: AttemptSignals,
  ): Promise<CarriedResult>;
  /** Lets another router open a connection; null if none can tell. */
  probe(server: string): Promise<ProbeResult | null>;
}

/** For a router without others. */
export const NO_CARRIERS: Carriers = {
  isAvailable: () => false,
  send: async () => ({kind: 'unavailable'}),
  probe: async () => null,
};
