import type {Clock} from '@banyandrum/base/clock.js';
import type {Failure} from '@banyandrum/base/failure.js';
import {Ok} from '@banyandrum/base/result.js';
import type {LedCell, Owned} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {watchAnswerEnd} from './answer-end.js';
import {guardDeadline, VERDICT_GRACE_MS} from './deadline-guard.js';
import type {DeadlineWheel} from './deadline.js';
import {
  createDispatch,
  returnReason,
  type ReturnReason,
  type TrackedDispatch,
} from './dispatch.js';
import type {Ticket} from './fair-level.js';
import type {LoadMeter} from './load-meter.js';
import type {Pending} from './pending.js';
import type {ServerQueue} from './server-queue.js';
import {createCountdown, type ShardGate} from './shard-gate.js';

/** One request on its way to a server. */
export interface Flight {
  readonly led: LedCell;
  readonly pending: Pending;
  readonly where: Owned;
  readonly gate: ShardGate;
  readonly server: ServerQueue;
  /** The place that it comes back to where it has not run. */
  readonly ticket: Ticket<Pending>;
}

/** Sends requests and keeps account of their slots. */
export interface Sender {
  /** Takes a slot and sends; nothing else may happen in between. */
  send(flight: Flight): void;
  /** Resolves once nothing is in flight. */
  idle(): Promise<void>;
}

export interface SenderOptions {
  readonly client: Pick<ServerClient, 'send'>;
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly load: LoadMeter;
  /** The request has not run and goes back into a queue. */
  readonly takeBack: (flight: Flight) => void;
  /** A slot of the server became free. */
  readonly ended: (server: ServerQueue) => void;
}

/**
 * Makes the sender of one cell.
 *
 * @example
 * ```ts
 * const sender = createSender(options);
 * sender.send(flight);
 * ```
 */
export function createSender(options: SenderOptions): Sender {
  const {client, clock, wheel, load} = options;
  const flying = createCountdown();

  const begin = ({server, gate}: Flight): number => {
    gate.begin();
    flying.begin();
    return server.slots.take();
  };

  const end = ({server, gate, where, pending}: Flight, ms: number): void => {
    const {shard} = where;
    load.served({shard, server: server.name, key: pending.key, busyMs: ms});
    server.slots.give();
    gate.end();
    flying.end();
    options.ended(server);
  };

  const handleReturn: Readonly<
    Record<ReturnReason, (flight: Flight, failed: Failure, at: number) => void>
  > = {
    held: () => {},
    away: ({server}) => server.slots.pause(),
    shed({server}, failed, sentAt) {
      load.shed(server.name);
      server.slots.shed(sentAt, failed.retryAfterMs ?? 0);
    },
  };

  const fail = (
    flight: Flight,
    dispatch: TrackedDispatch,
    failed: Failure,
    sentAt: number,
  ): boolean => {
    const {pending, server} = flight;
    const reason = returnReason(failed, dispatch, pending);
    const ms = clock.now() - sentAt;
    if (reason === null) {
      if (failed.verdict !== 'not-run') server.cut(pending.level, ms);
      end(flight, ms);
      return false;
    }
    handleReturn[reason](flight, failed, sentAt);
    // Back in its place before the slot is free, else another one takes it.
    options.takeBack(flight);
    end(flight, ms);
    return true;
  };

  const send = async (flight: Flight): Promise<void> => {
    const {pending, where, server} = flight;
    const dispatch = createDispatch({...flight, clock});
    const sentAt = begin(flight);
    const {deadline} = dispatch.req;
    const outcome = await guardDeadline(
      () => client.send(where.server, dispatch),
      {
        wheel,
        deadline,
        verdict: () => (dispatch.written ? 'may-have-run' : 'not-run'),
      },
    );
    if (outcome.err) {
      if (!fail(flight, dispatch, outcome.val, sentAt))
        pending.resolve(outcome);
      return;
    }
    let cancel = (): void => {};
    const watched = watchAnswerEnd(outcome.val, whole => {
      cancel();
      const ms = clock.now() - sentAt;
      if (whole) {
        server.slots.succeeded();
        server.answered(pending.level, ms);
      }
      end(flight, ms);
    });
    // The server stops at the deadline, whether or not somebody still reads.
    if (watched.answer !== outcome.val) {
      cancel = wheel.schedule(deadline + VERDICT_GRACE_MS, watched.end);
    }
    pending.resolve(Ok(watched.answer));
  };

  return {
    send: flight => void send(flight),
    idle: flying.idle,
  };
}
