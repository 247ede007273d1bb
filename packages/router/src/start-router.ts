import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {createId, type Incarnation} from '@banyandrum/base/ids.js';
import {createLogger} from '@banyandrum/base/logger.js';
import {createCallersService} from '@banyandrum/callers/service.js';
import {createStateStore} from '@banyandrum/config/log-store.js';
import type {Settings} from '@banyandrum/config/settings.js';
import {encodeState} from '@banyandrum/config/snapshot.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {createHostListClient} from '@banyandrum/hosts/http-client.js';
import {createHostWatch} from '@banyandrum/hosts/watch.js';
import {createLogClient} from '@banyandrum/log/http-client.js';
import {createOperatorsService} from '@banyandrum/operators/service.js';
import {
  createOwnership,
  type Ownership,
} from '@banyandrum/ownership/run-ownership.js';
import {deriveTiming} from '@banyandrum/ownership/timing.js';
import {createEntry} from '@banyandrum/requests/entry.js';
import {createLeaderQueues} from '@banyandrum/requests/leader-queues.js';
import {createPeerHandler} from '@banyandrum/requests/peer-handler.js';
import {createPeerServer} from '@banyandrum/routers/peer-server.js';
import {createPeers} from '@banyandrum/routers/peers.js';
import {createServerClient} from '@banyandrum/servers/http-client.js';
import {ServiceBroker} from 'moleculer';
import {createCells, type Cells} from './cells.js';
import {
  controlSchemas,
  createLateHandlers,
  type RouterControl,
} from './control.js';
import {createDescriber} from './describe.js';
import {createMetrics} from './metrics.js';
import {createOperatorActions} from './operator-actions.js';
import {createPolicyLookup, createServiceLookup} from './topology.js';

/** A router process's parts that outlive its start. */
export interface Router {
  readonly self: Incarnation;
  /** `ip:port` of the callers' interface. */
  readonly callers: string;
  /** `ip:port` of the operators' interface. */
  readonly operators: string;
  /** `ip:port` of the interface for other routers, as it is advertised. */
  readonly peers: string;
  /** `ip:port` that the interface for other routers listens on. */
  readonly peersListen: string;
  readonly store: StateStore;
  readonly cells: Cells;
  readonly ownership: () => Ownership | null;
  /** Stops gracefully within `graceMs`; no request in flight is cut. */
  stop(graceMs: number): Promise<void>;
}

const MAX_RECORD_BYTES = 1024 * 1024;
const HOST_LIST_TIMEOUT_MS = 1_000;
/** Time to find a router for every role, where one is there at all. */
const HAND_OVER_MS = 5_000;
const OPERATORS_GRACE_MS = 2_000;
/** Time that the balancer gets to see that this router is not ready. */
const NOTICE_MS = 500;

/**
 * Starts a router from its settings.
 *
 * @throws Error where an address cannot be bound.
 *
 * @example
 * ```ts
 * const router = await startRouter(settings);
 * await router.stop(30_000);
 * ```
 */
export async function startRouter(
  settings: Settings,
  clock: Clock = createClock(),
): Promise<Router> {
  const log = createLogger('router');
  const abort = new AbortController();
  const store = createStateStore({
    client: createLogClient({
      address: settings.log.address,
      stream: settings.log.stream,
      timeoutMs: settings.log.timeoutMs,
      maxRecordBytes: MAX_RECORD_BYTES,
      clock,
    }),
    clock,
    log: createLogger('config'),
    retentionMs: settings.log.retentionMs,
  });
  const hostWatch = createHostWatch({
    client: createHostListClient({
      address: settings.hostList.address,
      timeoutMs: HOST_LIST_TIMEOUT_MS,
      clock,
    }),
    pollMs: settings.hostList.pollMs,
    clock,
    log: createLogger('hosts'),
  });
  const serverClient = createServerClient({clock});
  const rules = () => store.current().rules;
  const queues = createLeaderQueues({client: serverClient, rules, clock});
  const cells = createCells({
    store,
    serverClient,
    hostWatch,
    queues,
    clock,
    log: createLogger('ownership'),
  });
  const metrics = createMetrics({store, cells, queues, clock});
  const topology = createServiceLookup(store);
  const late = createLateHandlers();
  const boot = createId();
  let address = settings.peers.listen;
  const self = (): Incarnation => ({
    host: settings.router.host,
    address,
    boot,
    dataCentre: settings.router.dataCentre,
  });
  const peerServer = await createPeerServer({
    listen: settings.peers.listen,
    self,
    handleRequest: createPeerHandler({topology, localLeader: queues.queueOf}),
    handlers: late.handlers,
    schemas: controlSchemas,
    clock,
  });
  address = settings.peers.advertise ?? peerServer.address;
  if (address.endsWith(':0')) address = peerServer.address;
  const peers = createPeers<RouterControl>({
    self,
    schemas: controlSchemas,
    clock,
  });
  const entry = createEntry({
    self: self(),
    topology,
    leaderOf: cell => store.current().views.get(cell) ?? null,
    subscribe: store.subscribe,
    localLeader: queues.queueOf,
    send: peers.send,
    rules,
    clock,
    random: Math.random,
  });
  const broker = new ServiceBroker({
    transporter: null,
    logger: false,
    // The broker's own handler of SIGTERM ends the process at once: callers
    // whose requests are in flight would see their connections cut.
    skipProcessEventRegistration: true,
  });
  const callers = createCallersService({
    listen: parseAddress(settings.callers.listen),
    handle: metrics.measure(entry.handle),
    policyOf: createPolicyLookup(store, topology),
    log: createLogger('callers'),
    clock,
  });
  const describer = createDescriber({
    self: self(),
    store,
    cells,
    queues,
    serviceOf: topology,
    ownership: () => ownership,
  });
  let ownership: Ownership | null = null;
  const begin = (): void => {
    // Times of the protocol must not change while cells are led, so nothing
    // is led before the first publication states them.
    if (ownership !== null || store.current().publication === null) return;
    if (abort.signal.aborted) return;
    ownership = createOwnership({
      self: self(),
      store,
      hosts: hostWatch,
      peers,
      clock,
      log: createLogger('ownership'),
      timing: deriveTiming(rules().timing),
      startCell: cells.start,
      encodeState,
    });
    late.set({
      ...ownership.handlers,
      describe: async () => describer.describe(),
      explain: async (_from, {service, key}) => {
        const explained = describer.explain(service, key);
        if (explained === null) throw new Error(`no service ${service}`);
        return explained;
      },
    });
    callers.setReady(true);
    log.info('ready', {callers: callers.address(), peers: address});
  };
  const operatorsLog = createLogger('operators');
  const operators = createOperatorsService({
    listen: parseAddress(settings.operators.listen),
    tokens: settings.operators.tokens,
    openMetrics: settings.operators.openMetrics,
    actions: createOperatorActions({
      self: self(),
      store,
      hostWatch,
      peers,
      describer,
      serviceOf: topology,
      clock,
      log: operatorsLog,
    }),
    metrics: metrics.registry,
    health: {live: () => true, ready: () => ownership !== null},
    log: operatorsLog,
    clock,
  });
  broker.createService(callers.schema);
  broker.createService(operators.schema);
  await broker.start();
  store.subscribe(begin);
  begin();
  void hostWatch.run(abort.signal);

  return {
    self: self(),
    callers: callers.address(),
    operators: operators.address(),
    peers: address,
    peersListen: peerServer.address,
    store,
    cells,
    ownership: () => ownership,
    async stop(graceMs) {
      log.info('stopping', {graceMs});
      callers.setReady(false);
      // Cells go to their standbys first; requests that still arrive are
      // passed on to the new leaders until the last caller has its answer.
      abort.abort();
      await ownership?.stop(Math.min(HAND_OVER_MS, graceMs / 2));
      await callers.stop(graceMs, NOTICE_MS);
      await operators.stop(OPERATORS_GRACE_MS);
      await peerServer.close(graceMs);
      entry.close();
      await peers.close();
      await serverClient.close();
      await store.close();
      await broker.stop();
      log.info('stopped');
    },
  };
}

function parseAddress(address: string): {ip: string; port: number} {
  const at = address.lastIndexOf(':');
  return {ip: address.slice(0, at), port: Number(address.slice(at + 1))};
}
