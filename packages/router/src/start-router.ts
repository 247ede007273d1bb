import {createClock, type Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {createLogger} from '@banyandrum/base/logger.js';
import {
  createCallersService,
  type ListenAddress,
} from '@banyandrum/callers/service.js';
import {parseAddress} from '@banyandrum/base/address.js';
import type {Rules} from '@banyandrum/config/rules.js';
import type {Settings} from '@banyandrum/config/settings.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {createOperatorsService} from '@banyandrum/operators/service.js';
import type {Ownership} from '@banyandrum/ownership/run-ownership.js';
import {createHotKeyMeter} from '@banyandrum/placement/hot-key-meter.js';
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
import {createIdentity} from './identity.js';
import {createMetrics} from './metrics.js';
import {createOperatorActions} from './operator-actions.js';
import {runOwnershipMeter} from './ownership-meter.js';
import {openHostWatch, openStore} from './platform.js';
import {createTenure} from './tenure.js';
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
  const identity = createIdentity(settings);
  const store = openStore(settings, clock);
  const hostWatch = openHostWatch(settings, clock);
  const serverClient = createServerClient({clock});
  const rules = (): Rules => store.current().rules;
  const queues = createLeaderQueues({
    client: serverClient,
    rules,
    clock,
    createHotKeys: () => createHotKeyMeter(clock),
  });
  const platform = {store, serverClient, hostWatch, queues, clock};
  const cells = createCells({...platform, log: createLogger('ownership')});
  const metrics = createMetrics({store, cells, queues, clock});
  const serviceOf = createServiceLookup(store);
  const late = createLateHandlers();
  const peerServer = await createPeerServer({
    listen: settings.peers.listen,
    self: identity.self,
    handleRequest: createPeerHandler({
      topology: serviceOf,
      localLeader: queues.queueOf,
    }),
    handlers: late.handlers,
    schemas: controlSchemas,
    clock,
  });
  identity.listensAt(peerServer.address);
  const self = identity.self();
  const peers = createPeers<RouterControl>({
    self: identity.self,
    schemas: controlSchemas,
    clock,
  });
  const entry = createEntry({
    self,
    topology: serviceOf,
    leaderOf: cell => store.current().views.get(cell) ?? null,
    subscribe: store.subscribe,
    localLeader: queues.queueOf,
    send: peers.send,
    rules,
    clock,
    random: Math.random,
  });
  const callers = createCallersService({
    listen: listenAt(settings.callers.listen),
    handle: metrics.measure(entry.handle),
    policyOf: createPolicyLookup(store, serviceOf),
    log: createLogger('callers'),
    clock,
  });
  const tenure = createTenure({
    ...platform,
    ...{self, peers, cells, late},
    describer: () => describer,
    onBegun() {
      callers.setReady(true);
      log.info('ready', {callers: callers.address(), peers: self.address});
    },
  });
  const {ownership} = tenure;
  const told = {self, store, cells, queues, serviceOf, ownership};
  const describer = createDescriber(told);
  const operatorsLog = createLogger('operators');
  const operators = createOperatorsService({
    ...settings.operators,
    listen: listenAt(settings.operators.listen),
    actions: createOperatorActions({
      ...platform,
      ...{self, peers, describer, serviceOf},
      log: operatorsLog,
    }),
    metrics: metrics.registry,
    health: {live: () => true, ready: () => ownership() !== null},
    log: operatorsLog,
    clock,
  });
  const broker = createBroker();
  broker.createService(callers.schema);
  broker.createService(operators.schema);
  await broker.start();
  tenure.begin();
  const metering = new AbortController();
  void runOwnershipMeter(metrics.registry, cells, clock, metering.signal);

  return {
    self,
    callers: callers.address(),
    operators: operators.address(),
    peers: self.address,
    peersListen: peerServer.address,
    store,
    cells,
    ownership,
    async stop(graceMs) {
      log.info('stopping', {graceMs});
      callers.setReady(false);
      // Cells go to their standbys first; requests that still arrive are
      // passed on to the new leaders until the last caller has its answer.
      await tenure.stop(Math.min(HAND_OVER_MS, graceMs / 2));
      await callers.stop(graceMs, NOTICE_MS);
      await operators.stop(OPERATORS_GRACE_MS);
      await peerServer.close(graceMs);
      entry.close();
      await peers.close();
      await serverClient.close();
      await store.close();
      await broker.stop();
      metering.abort();
      log.info('stopped');
    },
  };
}

function createBroker(): ServiceBroker {
  return new ServiceBroker({
    transporter: null,
    logger: false,
    // The broker's own handler of SIGTERM ends the process at once: callers
    // whose requests are in flight would see their connections cut.
    skipProcessEventRegistration: true,
  });
}

function listenAt(address: string): ListenAddress {
  const parsed = parseAddress(address);
  if (parsed === null) throw new Error(`${address} is no address by IP number`);
  return parsed;
}
