import type {Clock} from '@banyandrum/base/clock.js';
import type {HealthFields} from '@banyandrum/dispatch/ask-health.js';
import type {AttemptResult, LossReason} from '@banyandrum/dispatch/attempt.js';
import type {Carriers} from '@banyandrum/dispatch/carriers.js';
import type {Emit} from '@banyandrum/dispatch/events.js';
import type {AttemptSignals} from '@banyandrum/dispatch/send-attempt.js';
import {status, type ClientUnaryCall, type ServiceError} from '@grpc/grpc-js';
import type {CarryReply, CarryRequest} from './carry-messages.js';
import {createStub, type LinkStub} from './link-stub.js';

/** Dependencies of `createCarryClient`. */
export interface CarryClientConfig {
  readonly clock: Clock;
  readonly emit: Emit;
  /** Addresses (`ip:port`) of routers that may carry, the nearest first. */
  candidates(): readonly string[];
}

/** The carriers, and the end of the connections to them. */
export interface CarryClient extends Carriers {
  /**
   * Lets another router ask the server's health endpoint; resolves with the header
   * fields of the answer, or null if none can tell.
   */
  askHealth(server: string, path: string): Promise<HealthFields | null>;
  stop(): void;
}

interface Peer {
  readonly stub: LinkStub;
  usedAt: number;
  /** Monotonic times of the calls that it hasn't acknowledged, in ms. */
  readonly unacknowledged: Set<{readonly sentAt: number}>;
}

/** What became of one call to one router. */
type CallResult =
  | {readonly kind: 'replied'; readonly reply: CarryReply}
  /** The call was not sent, or the router doesn't carry. */
  | {readonly kind: 'unsent'; readonly retryMs: number}
  /** It must not be sent any more. */
  | {readonly kind: 'withheld'}
  /** The call may have been carried out. */
  | {readonly kind: 'lost'; readonly reason: LossReason};

/** Routers that are asked to carry one attempt, one after another. */
const MAX_CARRIERS_ASKED = 6;
/** After this time, no further router is asked, in ms. */
const MAX_ASKING_MS = 400;
/** Time to connect to another router, in ms. */
const CONNECT_TIMEOUT_MS = 200;
/** Time for another router to acknowledge a call, in ms. */
const ACK_TIMEOUT_MS = 300;
/**
 * A router that hasn't acknowledged a call for this long, in ms, is asked after
 * the others: it may stand still, and each call to it costs a retry.
 */
const SLOW_ACK_MS = 50;
/**
 * After so many attempts in a row for which no router had a way, they are lost
 * servers rather than a cut of this router, and further attempts aren't carried
 * for a time, in ms. If a router is cut off, others reach most of the servers.
 */
const MAX_FRUITLESS = 5;
const FRUITLESS_PAUSE_MS = 300;
/** Timeout of a question to another router, in ms. */
const QUESTION_TIMEOUT_MS = 500;
/** A router that could not be used isn't asked again for this long, in ms. */
const FAILED_BACKOFF_MS = 500;
/** The same for one whose version of the program doesn't carry. */
const UNSUPPORTED_BACKOFF_MS = 10_000;
/** Connections without calls are closed after this time, in ms. */
const IDLE_TIMEOUT_MS = 10_000;

/**
 * Creates the carriers' client, which connects to other routers on demand.
 *
 * @example
 * ```ts
 * const carriers = createCarryClient({clock, emit, candidates});
 * const carried = await carriers.send(attempt, {signal, sendSignal});
 * ```
 */
export function createCarryClient(cfg: CarryClientConfig): CarryClient {
  const {clock} = cfg;
  const peers = new Map<string, Peer>();
  const unusableUntil = new Map<string, number>();
  let turn = 0;
  /** Attempts in a row for which no router had a way. */
  let fruitless = 0;
  let pausedUntil = -Infinity;
  let cancelIdleCheck = (): void => undefined;

  const isUsable = (address: string): boolean =>
    (unusableUntil.get(address) ?? -Infinity) <= clock.now();

  const isSlow = (address: string): boolean => {
    const [oldest] = peers.get(address)?.unacknowledged ?? [];
    return oldest !== undefined && clock.now() - oldest.sentAt > SLOW_ACK_MS;
  };

  /** Routers to ask: the two nearest are first in turn. */
  const usableCandidates = (): readonly string[] => {
    const all = cfg.candidates().filter(isUsable);
    const slow = all.filter(isSlow);
    const usable = all.filter(address => !slow.includes(address));
    usable.push(...slow);
    const [first, second, ...others] = usable;
    if (second === undefined) return usable;
    const isAlternating = turn++ % 2 === 1 && !slow.includes(second);
    const nearest = isAlternating ? [second, first!] : [first!, second];
    return [...nearest, ...others].slice(0, MAX_CARRIERS_ASKED);
  };

  const closePeer = (address: string): void => {
    peers.get(address)?.stub.close();
    peers.delete(address);
  };

  const backOff = (address: string, ms: number): void => {
    cfg.emit('carrier-unusable', {carrier: address, forMs: ms});
    for (const known of unusableUntil.keys()) {
      if (isUsable(known)) unusableUntil.delete(known);
    }
    unusableUntil.set(address, clock.now() + ms);
    closePeer(address);
  };

  const closeIdle = (): void => {
    for (const [address, {usedAt}] of peers) {
      if (clock.now() - usedAt >= IDLE_TIMEOUT_MS) closePeer(address);
    }
    scheduleIdleCheck();
  };

  const scheduleIdleCheck = (): void => {
    cancelIdleCheck();
    if (peers.size === 0) return;
    cancelIdleCheck = clock.after(IDLE_TIMEOUT_MS, closeIdle);
  };

  const peerAt = (address: string): Peer => {
    const known = peers.get(address);
    if (known !== undefined) {
      known.usedAt = clock.now();
      return known;
    }
    const peer: Peer = {
      stub: createStub(address),
      usedAt: clock.now(),
      unacknowledged: new Set(),
    };
    peers.set(address, peer);
    if (peers.size === 1) scheduleIdleCheck();
    return peer;
  };

  const waitUntilConnected = ({stub}: Peer): Promise<boolean> =>
    new Promise(resolve => {
      const cancel = clock.after(CONNECT_TIMEOUT_MS, () => resolve(false));
      stub.waitForReady(Infinity, err => {
        cancel();
        resolve(err === undefined);
      });
    });

  const call = async (
    address: string,
    createRequest: (withinMs: number) => CarryRequest,
    deadline: number,
    signals: AttemptSignals | null,
  ): Promise<CallResult> => {
    const peer = peerAt(address);
    if (!(await waitUntilConnected(peer)))
      return {kind: 'unsent', retryMs: FAILED_BACKOFF_MS};
    if (signals?.signal.aborted) return {kind: 'lost', reason: 'cancelled'};
    if (signals?.sendSignal.aborted) return {kind: 'withheld'};
    const withinMs = deadline - clock.now();
    return new Promise(resolve => {
      let reason: LossReason = 'carrier-lost';
      const cancelAs = (why: LossReason): void => {
        reason = why;
        pending.cancel();
      };
      const sent = {sentAt: clock.now()};
      peer.unacknowledged.add(sent);
      const onAck = (): void => {
        peer.unacknowledged.delete(sent);
        cancelAck();
      };
      const onReply = (err: ServiceError | null, reply?: CarryReply): void => {
        cancelDeadline();
        onAck();
        signals?.signal.removeEventListener('abort', onAbort);
        if (err === null) return resolve({kind: 'replied', reply: reply!});
        if (err.code === status.UNIMPLEMENTED)
          return resolve({kind: 'unsent', retryMs: UNSUPPORTED_BACKOFF_MS});
        resolve({kind: 'lost', reason});
      };
      const onAbort = (): void => cancelAs('cancelled');
      const pending: ClientUnaryCall = peer.stub.carry(
        createRequest(withinMs),
        onReply,
      );
      // gRPC computes deadlines from the wall clock, which may jump.
      const cancelDeadline = clock.after(withinMs, () => cancelAs('timeout'));
      const cancelAck = clock.after(ACK_TIMEOUT_MS, () =>
        cancelAs('carrier-lost'),
      );
      pending.on('metadata', onAck);
      signals?.signal.addEventListener('abort', onAbort);
    });
  };

  const noteFruitless = (): void => {
    fruitless++;
    if (fruitless >= MAX_FRUITLESS)
      pausedUntil = clock.now() + FRUITLESS_PAUSE_MS;
  };

  const send: Carriers['send'] = async (attempt, signals) => {
    if (clock.now() < pausedUntil) return {kind: 'unavailable'};
    const startedAt = clock.now();
    const deadline = startedAt + attempt.withinMs;
    let isRefused = false;
    for (const by of usableCandidates()) {
      if (clock.now() - startedAt > MAX_ASKING_MS) break;
      if (signals.sendSignal.aborted) break;
      const createRequest = (withinMs: number): CarryRequest => ({
        ...{kind: 'send', attempt: {...attempt, withinMs}},
      });
      const result = await call(by, createRequest, deadline, signals);
      if (result.kind === 'lost') {
        if (result.reason === 'carrier-lost') backOff(by, FAILED_BACKOFF_MS);
        return {kind: 'sent', by, result: lostOnTheWay(result.reason)};
      }
      if (result.kind === 'withheld') break;
      if (result.kind === 'unsent') {
        backOff(by, result.retryMs);
        continue;
      }
      const {reply} = result;
      if (reply.kind === 'sent') {
        fruitless = 0;
        return {kind: 'sent', by, result: reply.result};
      }
      if (reply.kind === 'unreachable') {
        noteFruitless();
        return {kind: 'unreachable', by};
      }
      isRefused ||= reply.kind === 'refused' && reply.why === 'cut-off';
    }
    if (isRefused) noteFruitless();
    return {kind: 'unavailable'};
  };

  /**
   * Asks one router after another until one can tell: `answerOf` returns undefined
   * for the replies of those that can't. Null if none can.
   */
  const ask = async <T>(
    request: CarryRequest,
    maxMs: number,
    answerOf: (reply: CarryReply) => T | undefined,
  ): Promise<T | null> => {
    const startedAt = clock.now();
    for (const by of usableCandidates()) {
      if (clock.now() - startedAt > maxMs) break;
      const deadline = clock.now() + QUESTION_TIMEOUT_MS;
      const result = await call(by, () => request, deadline, null);
      if (result.kind !== 'replied') continue;
      const answer = answerOf(result.reply);
      if (answer !== undefined) return answer;
    }
    return null;
  };

  return {
    isAvailable: () => cfg.candidates().some(isUsable),
    send,
    probe: server =>
      ask({kind: 'probe', server}, Infinity, reply =>
        reply.kind === 'probed' ? reply.result : undefined,
      ),
    // The server gets no requests meanwhile.
    askHealth: (server, path) =>
      ask({kind: 'health', server, path}, MAX_ASKING_MS, reply => {
        if (reply.kind === 'health') return new Map(reply.fields);
        return reply.kind === 'unreachable' ? null : undefined;
      }),
    stop() {
      cancelIdleCheck();
      [...peers.keys()].forEach(closePeer);
    },
  };
}

/** The request may have been sent, and its outcome is unknown. */
function lostOnTheWay(reason: LossReason): AttemptResult {
  return {
    ...{kind: 'lost', reason, isWritten: true},
    detail: 'the router that sent it for this one gave no result',
    fields: new Map(),
  };
}
