import type {Clock} from '@banyandrum/base/clock.js';
import {failure, type Failure} from '@banyandrum/base/failure.js';
import type {ServiceAnswer} from '@banyandrum/base/request.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import type {LedCell, Owned} from '@banyandrum/ownership/led-cell.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {watchAnswerEnd} from './answer-end.js';
import {guardDeadline, VERDICT_GRACE_MS} from './deadline-guard.js';
import {createLeaseWatch, type LeaseWatch} from './lease-watch.js';
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

/** A request to send to a server. */
export interface Send {
  readonly led: LedCell;
  readonly pending: Pending;
  readonly where: Owned;
  readonly gate: ShardGate;
  readonly server: ServerQueue;
  /** Its queue entry, to which it returns if it didn't run. */
  readonly ticket: Ticket<Pending>;
}

/** A request that was sent. */
interface StartedSend extends Send {
  readonly sentAt: number;
  readonly dispatch: TrackedDispatch;
  readonly watch: LeaseWatch;
}

/** Sends requests and manages the slots that they use. */
export interface Sender {
  /** Takes a slot and sends the request, synchronously. */
  send(flight: Send): void;
  /** Resolves once nothing is in flight. */
  idle(): Promise<void>;
}

export interface SenderOptions {
  readonly client: Pick<ServerClient, 'send'>;
  readonly clock: Clock;
  readonly wheel: DeadlineWheel;
  readonly load: LoadMeter;
  /** Called if the request didn't run and returns to a queue. */
  readonly takeBack: (flight: Send) => void;
  /** Called when a slot of the server became free. */
  readonly ended: (server: ServerQueue) => void;
}

/**
 * Creates the sender of one cell.
 *
 * @example
 * ```ts
 * const sender = createSender(options);
 * sender.send(flight);
 * ```
 */
export function createSender(options: SenderOptions): Sender {
  const {client, clock, wheel, load} = options;
  const inFlight = createCountdown();

  const begin = ({server, gate}: Send): void => {
    server.slots.take();
    gate.begin();
    inFlight.begin();
  };

  const end = (flight: StartedSend, isOver: boolean, now: number): void => {
    const {server, gate, where, pending, dispatch, sentAt} = flight;
    const busyMs = now - sentAt;
    flight.watch.end();
    const {shard} = where;
    load.served({shard, server: server.name, key: pending.key, busyMs}, now);
    server.slots.give();
    gate.answered();
    // The server may run it until the deadline, although nobody waits for it.
    if (isOver) gate.ended();
    else wheel.schedule(dispatch.req.deadline, gate.ended);
    inFlight.end();
    options.ended(server);
  };

  const answered = (flight: StartedSend, whole: boolean): void => {
    const {server, pending, sentAt} = flight;
    const now = clock.now();
    const busyMs = now - sentAt;
    if (whole) {
      server.slots.succeeded();
      server.answered(pending.level, busyMs, now);
    }
    end(flight, whole, now);
  };

  const pass = (flight: StartedSend, answer: ServiceAnswer): void => {
    const {deadline} = flight.dispatch.req;
    let cancel = (): void => {};
    const watched = watchAnswerEnd(answer, whole => {
      cancel();
      answered(flight, whole);
    });
    // The server stops at the deadline, even if the answer is still read.
    if (watched.answer !== answer) {
      cancel = wheel.schedule(deadline + VERDICT_GRACE_MS, watched.end);
    }
    flight.pending.resolve(Ok(watched.answer));
  };

  const handleReturn: Readonly<
    Record<ReturnReason, (flight: Send, failed: Failure, at: number) => void>
  > = {
    held: () => {},
    away: ({server}) => server.slots.pause(),
    shed({server}, failed, sentAt) {
      load.shed(server.name);
      server.slots.shed(sentAt, failed.retryAfterMs ?? 0);
    },
  };

  const fail = (flight: StartedSend, told: Failure): void => {
    const {pending, server, dispatch, sentAt} = flight;
    const failed = flight.watch.isLost() ? lostLease(told) : told;
    const now = clock.now();
    const busyMs = now - sentAt;
    const reason = returnReason(failed, dispatch, pending);
    if (reason === null) {
      if (failed.verdict !== 'not-run') server.cut(pending.level, busyMs, now);
      end(flight, failed.verdict === 'not-run', now);
      return pending.resolve(Err(failed));
    }
    handleReturn[reason](flight, failed, sentAt);
    // Must return to the queue before the slot is free for the next request.
    options.takeBack(flight);
    end(flight, true, now);
  };

  return {
    send(flight) {
      const {where, led, pending, gate, ticket} = flight;
      const {server} = where;
      const {signal} = pending.req;
      const watch = createLeaseWatch({led, where, signal, wheel, clock});
      const dispatch = createDispatch(flight, watch.signal, clock);
      const {deadline} = dispatch.req;
      const begun: StartedSend = {
        led,
        pending,
        where,
        gate,
        ticket,
        server: flight.server,
        dispatch,
        watch,
        sentAt: clock.now(),
      };
      begin(flight);
      guardDeadline({
        run: () => client.send(server, dispatch),
        wheel,
        deadline,
        verdict: () => (dispatch.written ? 'may-have-run' : 'not-run'),
        done(outcome) {
          if (outcome.err) fail(begun, outcome.val);
          else pass(begun, outcome.val);
        },
      });
    },
    idle: inFlight.idle,
  };
}

function lostLease({verdict}: Failure): Failure {
  return failure(verdict, 'connection-lost', 'the server lost its lease');
}
