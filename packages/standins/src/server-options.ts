import type {Clock} from '@banyandrum/base/clock.js';
import type {ServiceTime} from './server-service-time.js';
import type {ServerState} from './server-work.js';

/** How a stand-in server is set up. */
export interface ServerStandinOptions {
  readonly name: string;
  readonly service: string;
  readonly slots: number;
  readonly checksFences: boolean;
  /** Default: no time at all. */
  readonly serviceMs?: ServiceTime | undefined;
  /** Of the service times; default 1. */
  readonly seed?: number | undefined;
  /** After each start it says `cold` and is slower for so long; default 0. */
  readonly coldStartMs?: number | undefined;
  /** Requests that may wait for a slot; default 0. */
  readonly queueLimit?: number | undefined;
  readonly clock?: Clock | undefined;
  /** Its own clock's rate against `clock`, for drift; default 1. */
  readonly clockRate?: number | undefined;
  /**
   * Where its keys' state lives. By default in the server, so that a restart
   * loses it; several servers with the same map play a shared back store.
   */
  readonly state?: ServerState | undefined;
}
