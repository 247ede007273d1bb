import {createCanceller, type CancelSignal} from '@banyandrum/base/cancel.js';
import type {AskHealth} from '@banyandrum/dispatch/ask-health.js';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import {
  NO_CARRIERS,
  type CarriedAttempt,
} from '@banyandrum/dispatch/carriers.js';
import type {ProbeResult} from '@banyandrum/dispatch/crash-detector.js';
import {mayServeOwnedKeys, type Backend} from '@banyandrum/dispatch/backend.js';
import {MIN_SEND_MS} from '@banyandrum/dispatch/forward-state.js';
import {
  sendDirectly,
  type SendConfig,
} from '@banyandrum/dispatch/send-attempt.js';
import {
  noteServerSignals,
  type ServerSignalsConfig,
} from '@banyandrum/dispatch/server-signals.js';
import {
  Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import type {CarryReply, CarryRefusal, CarryRequest} from './carry-messages.js';
import {expectedDelayMs} from './read-delay.js';
import {logLoopError} from './repeat.js';

/** Dependencies of `createCarryServer`. */
export interface CarryServerConfig
  extends Omit<SendConfig, 'carriers'>, ServerSignalsConfig {
  readonly backends: Backends;
  probe(backend: Backend): Promise<ProbeResult>;
  readonly askHealth: AskHealth;
  /** Event loop lag that this process has had for a while, in ms. */
  lagMs(): number;
  /** How long calls may have waited unread, in ms. */
  pollDelayMs(): number;
  /** As of `ForwardConfig`. */
  catchUp(signal: CancelSignal): Promise<void> | null;
}

type CarryCall = ServerUnaryCall<CarryRequest, CarryReply>;

/** Sends attempts for routers that can't reach their servers. */
export interface CarryServer {
  handle(call: CarryCall, reply: sendUnaryData<CarryReply>): void;
  /** Attempts that are being sent for other routers. */
  inFlight(): number;
  /** Refuses further attempts. */
  startClosing(): void;
}

/** Attempts that are sent for other routers at a time. */
const MAX_CARRIED = 256;
/**
 * Event loop lag above which this router refuses to carry, in ms, so that its
 * own callers don't have to wait for others.
 */
const MAX_LOOP_LAG_MS = 100;

/**
 * Creates the carrier's side. Attempts are sent on this router's own
 * connections or not at all, so that there is no second detour.
 *
 * @example
 * ```ts
 * const carryServer = createCarryServer(cfg);
 * grpcServer.addService(LINK_SERVICE, {carry: carryServer.handle, ...rest});
 * ```
 */
export function createCarryServer(cfg: CarryServerConfig): CarryServer {
  let inFlight = 0;
  let isClosing = false;

  const findRefusal = (backend: Backend | undefined): CarryRefusal | null => {
    if (isClosing) return 'stopping';
    if (inFlight >= MAX_CARRIED || cfg.lagMs() > MAX_LOOP_LAG_MS) return 'busy';
    if (backend === undefined || backend.isReplaced) return 'unknown-server';
    if (backend.leavingSince !== null) return 'leaving';
    if (!mayServeOwnedKeys(backend, cfg.clock.now())) return 'evacuated';
    return cfg.rests.remainingMs(backend.info.id) > 0 ? 'resting' : null;
  };

  const replyUnreached = (): CarryReply =>
    cfg.paths.isSuspect()
      ? {kind: 'refused', why: 'cut-off'}
      : {kind: 'unreachable'};

  const send = async (
    call: CarryCall,
    attempt: CarriedAttempt,
  ): Promise<CarryReply> => {
    const {backends, paths} = cfg;
    const {server} = attempt;
    const canceller = createCanceller();
    call.on('cancelled', () => canceller.abort());
    const {signal} = canceller;
    const readAt = cfg.clock.now();
    // A cancellation that lies unread is known once this router has caught up.
    const unreadMs = expectedDelayMs(cfg.pollDelayMs(), attempt.withinMs);
    const behind = cfg.catchUp(signal);
    if (behind !== null) await behind;
    const spentMs = unreadMs + cfg.clock.now() - readAt;
    const withinMs = attempt.withinMs - spentMs;
    if (signal.aborted || withinMs < MIN_SEND_MS)
      return {kind: 'refused', why: 'too-late'};
    const backend = backends.get(server);
    const why = findRefusal(backend);
    if (why !== null) return {kind: 'refused', why};
    if (!paths.isOpen(server)) return replyUnreached();
    const connection = backend!.connections.acquire(
      attempt.requestId,
      paths.trustedSince(server),
    );
    if (connection === null) return {kind: 'refused', why: 'no-connection'};
    const sentAt = cfg.clock.now();
    inFlight++;
    backend!.inFlight++;
    const sendCfg = {...cfg, carriers: NO_CARRIERS};
    const spec = {...attempt, withinMs};
    const signals = {signal, sendSignal: signal};
    const result = await sendDirectly(
      ...([sendCfg, backend!, connection, spec, signals] as const),
    );
    backend!.inFlight--;
    inFlight--;
    noteServerSignals(cfg, {server, sentAt, result});
    const isUnreached =
      result.kind === 'lost' && !result.isWritten && !signal.aborted;
    return isUnreached ? replyUnreached() : {kind: 'sent', result};
  };

  const probe = async (server: string): Promise<CarryReply> => {
    const backend = cfg.backends.get(server);
    if (backend === undefined) return {kind: 'refused', why: 'unknown-server'};
    const result = await cfg.probe(backend);
    if (result !== 'open' && cfg.paths.isSuspect()) return replyUnreached();
    return {kind: 'probed', result};
  };

  const tellHealth = async (
    server: string,
    path: string,
  ): Promise<CarryReply> => {
    const backend = cfg.backends.get(server);
    if (backend === undefined) return {kind: 'refused', why: 'unknown-server'};
    const fields = await cfg.askHealth(backend, path);
    if (fields === null) return replyUnreached();
    return {kind: 'health', fields: [...fields]};
  };

  const carryOut = (call: CarryCall): Promise<CarryReply> => {
    const {request} = call;
    if (request.kind === 'probe') return probe(request.server);
    if (request.kind === 'health')
      return tellHealth(request.server, request.path);
    return send(call, request.attempt);
  };

  const log = (call: CarryCall, reply: CarryReply): void => {
    const {request} = call;
    if (request.kind !== 'send') return;
    const {server, requestId} = request.attempt;
    const outcome = reply.kind === 'sent' ? reply.result.kind : reply.kind;
    const why = reply.kind === 'refused' ? {why: reply.why} : {};
    const from = call.getPeer();
    cfg.emit('carried', {id: requestId, server, from, outcome, ...why});
  };

  return {
    handle(call, reply) {
      // Acknowledges the call: without it, the other router asks another one.
      call.sendMetadata(new Metadata());
      carryOut(call).then(
        result => {
          log(call, result);
          reply(null, result);
        },
        (err: Error) => {
          logLoopError(cfg.emit, 'carry', err);
          reply(err);
        },
      );
    },
    inFlight: () => inFlight,
    startClosing() {
      isClosing = true;
    },
  };
}
