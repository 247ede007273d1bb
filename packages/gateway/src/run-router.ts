import {createServer} from 'node:http';
import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {createId} from '@banyandrum/base/ids.js';
import {reportsLeaving} from '@banyandrum/dispatch/attempt-outcome.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {createPlaceIssuer} from '@banyandrum/dispatch/place-issuer.js';
import {probeServer} from '@banyandrum/dispatch/probe-server.js';
import {createQuarantine} from '@banyandrum/dispatch/quarantine.js';
import {createRetryBudget} from '@banyandrum/dispatch/retry-budget.js';
import {createServerEnds} from '@banyandrum/dispatch/server-ends.js';
import {
  createServerLimits,
  noteLimit,
} from '@banyandrum/dispatch/server-limits.js';
import {
  createServerRests,
  noteRetryAfter,
} from '@banyandrum/dispatch/server-rests.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createLeaseTiming} from '@banyandrum/ranges/timing.js';
import {createSplitter} from '@banyandrum/routing/split.js';
import {keepConfig} from './config-keeper.js';
import {createEntry} from './entry.js';
import type {EventLog} from './event-log.js';
import {isFollowing, keepUp} from './keep-up.js';
import {createKeyOwners, type ServedTables} from './key-owners.js';
import {createLeadership} from './leadership.js';
import {ledServers} from './led-servers.js';
import {limitConnections} from './limit-connections.js';
import {followLeader} from './link-client.js';
import {serveLinks} from './link-server.js';
import {listenAt} from './listen.js';
import {createLocalPlaces} from './local-places.js';
import {followRouters} from './membership.js';
import {watchLag} from './loop-lag.js';
import {createMetrics, type MetricsSource} from './metrics.js';
import type {Platform} from './platform.js';
import {createQuarantinePage} from './quarantine-page.js';
import {createRouterCount} from './router-count.js';
import {createServerList} from './server-list.js';
import {createServiceTimes, drainTimes} from './service-times.js';
import type {Settings} from './settings.js';
import {shareSuspects} from './share-suspects.js';
import {stopRouter} from './stop-router.js';
import {createSuccession} from './succession.js';
import {watchVitals} from './vitals.js';
import {wakefulTime} from './wakeful-clock.js';

/** A router process at work. */
export interface RouterProcess {
  /** `ip:port` of each interface. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly metrics: string;
  };
  /** Stops gracefully: no request in flight is cut. */
  stop(): Promise<void>;
}

/**
 * The list of servers counts as whole once none came for this long, in ms: a
 * little more than the second in which servers of the deployments known report
 * themselves, and a read of their list.
 */
const SETTLE_MS = 1_500;
/** What a leader that leaves tells of its touch with the platform, in ms. */
const LEAVING_TOUCH_MS = 1e6;

/**
 * Runs a router: callers' interface, readiness, the exchange with the other
 * routers, and leadership when it is chosen.
 *
 * @example
 * ```ts
 * const router = await runRouter(settings, platform, log);
 * process.once('SIGTERM', () => void router.stop());
 * ```
 */
export async function runRouter(
  settings: Settings,
  platform: Platform,
  log: EventLog,
  clock: Clock = createClock(),
): Promise<RouterProcess> {
  const {emit} = log;
  const boot = createId();
  const self = `${settings.host.name}@${settings.listen.peers}#${boot}`;
  let isStopping = false;
  let isOver = false;
  const goesOn = (): boolean => !isOver;

  const backends = createBackends(clock);
  const list = createServerList(clock, emit, settings.servers.leaveWithinMs);
  const owners = createKeyOwners(clock, emit);
  const times = createServiceTimes();
  list.subscribe(() => backends.update(list.snapshot()!.servers));
  const suspects = createSuspects(clock, emit);
  const limits = createServerLimits({clock, emit});
  const rests = createServerRests({clock, emit});
  const ends = createServerEnds({clock, probe: probeServer});
  list.subscribe(() => {
    ends.watched().filter(list.isReplaced).forEach(ends.noteReplaced);
  });

  const keyedServices = (): readonly string[] =>
    [...(keeper.current()?.services.values() ?? [])]
      .filter(({isKeyed}) => isKeyed)
      .map(({name}) => name);
  const hasEnded = (server: string): boolean =>
    owners.isReplaced(server) || list.isReplaced(server);

  let restoredAt = -Infinity;
  platform.history.subscribe((storeEpoch, before) => {
    if (before !== null) restoredAt = clock.now();
    emit('store-epoch', {storeEpoch, before});
  });
  const led = {backends, times, clock, limits, hasEnded};
  const wakefulNow = wakefulTime(clock, Date.now);
  const leadership = createLeadership({
    platform,
    clock,
    wakefulNow,
    emit,
    boot,
    address: settings.listen.peers,
    keyedServices,
    timing: createLeaseTiming(settings.servers.holdMaxMs),
    serversOf: service => ledServers(led, service),
    hasEnded,
    isListSettled: () => list.settledMs() >= SETTLE_MS,
    waitingKeys: service => issuer.waitingKeys(service),
    isFirstStart: settings.platform.isFirstStart,
  });
  const routers = followRouters({
    members: platform.members(self),
    clock,
    wakefulNow,
    emit,
    onJoined: () => void succession.consider(),
    onReplaced: () => leadership.check(),
    isSpared: () => !leadership.isLeading() && link.sparesSelf(),
    hearsLeader: () => leadership.isLeading() || link.leader() !== null,
  });
  const routerCount = createRouterCount(clock);
  const countRouters = (): number => {
    routerCount.note(routers.count());
    return routerCount.current();
  };
  const shareConnections = (): void => {
    const services = keeper.current()?.services;
    if (services === undefined) return;
    limitConnections(backends, services, countRouters());
  };
  const chosenAddress = (): string | null => {
    const name = routers.chosen();
    return name === null || name === self ? null : addressOf(name);
  };
  const takeOffer = async (): Promise<boolean> =>
    !isStopping && (await leadership.begin());
  const link = followLeader({
    clock,
    emit,
    owners,
    list,
    suspects,
    limits,
    chosen: chosenAddress,
    isLeading: () => leadership.isLeading(),
    self: {address: settings.listen.peers, ...settings.host},
    onOffered: () => void takeOffer(),
    onLost: () => void succession.consider(),
    epoch: () => leadership.epoch(),
    noteConfigCursor: cursor => keeper.noteCursor(cursor),
    takeConfig: (config, cursor) => keeper.takeRelayed(config, cursor),
    configCursor: () => keeper.cursor(),
    noteRouters: routerCount.note,
  });
  const succession = createSuccession({
    emit,
    self: settings.listen.peers,
    isChosen: () => routers.isChosen(),
    isLeading: () => leadership.isLeading(),
    restoredMs: () => clock.now() - restoredAt,
    heardLeaderTouchMs: () => link.leaderTouchMs(),
    lastLeader: () => platform.ledger.lastLeader(),
    reach: link.reach,
    deputies: () => link.deputies(),
    room: settings.host.room,
    offer: link.offer,
    begin: takeOffer,
  });
  const issuer = createPlaceIssuer({
    backends,
    clock,
    emit,
    ownerOf: (service, key) => owners.ownerOf(service, key),
    suspects,
    limits,
  });
  const noteLeaving = (server: string): void => {
    if (!list.noteLeaving(server) || leadership.isLeading()) return;
    link.tellLeaving(server);
  };
  platform.subscribeOrderOutcomes(outcome => {
    noteLimit(limits, platform.names, outcome);
    noteRetryAfter(rests, platform.names, outcome);
    if (reportsLeaving(platform.names, outcome)) noteLeaving(outcome.server);
  });
  limits.subscribe((row, isOwn) => {
    if (isOwn && !leadership.isLeading()) link.tellLimits([row]);
  });
  const keeper = keepConfig(
    platform,
    clock,
    emit,
    () => isFollowing(link),
    () => !leadership.isLeading() && link.relaysConfig(),
  );
  keeper.subscribe(() => {
    const config = keeper.current()!;
    entry.applyLimits(config);
    shareConnections();
  });

  const isInformed = shareSuspects({
    ...{platform, clock, emit, leadership, suspects, link, goesOn},
    unixNow: Date.now,
  });
  const lag = watchLag(clock);
  const source: MetricsSource = {
    routers: countRouters,
    isLeading: () => leadership.isLeading(),
    waiting: () => issuer.waiting(),
    listAgeMs: () => list.ageMs(),
    leaderAgeMs: () => link.ageMs(),
    configVersion: () => keeper.current()?.version ?? 0,
    droppedLines: () => log.dropped(),
    unheldRanges: () => countUnheld(leadership.tables()),
    suspected: () => suspects.count('suspected'),
    quarantined: () => suspects.count('quarantined'),
    limitedServers: () => limits.count(),
    restingServers: () => rests.count(),
    storeEpoch: () => platform.history.epoch(),
  };
  const page = createQuarantinePage(suspects, settings.operators.tokens);
  const metrics = createMetrics(source, page);
  const entry = createEntry({
    clock,
    emit,
    count: metrics.count,
    splitter: createSplitter(),
    config: () => keeper.current(),
    isInformed: () => isInformed(),
    lagMs: () => lag.ms(),
    forward: {
      backends,
      owners: {
        ...owners,
        noteReplaced(server) {
          owners.noteReplaced(server);
          ends.noteReplaced(server);
          link.noteReplaced(server);
        },
      },
      places: createLocalPlaces({leadership, issuer, owners, link}),
      dataCentre: settings.host.dataCentre,
      budget: createRetryBudget(settings.retries, countRouters),
      quarantine: createQuarantine(suspects, ends),
      limits,
      rests,
      noteLeaving,
      names: platform.names,
      clock,
      emit,
      routers: countRouters,
    },
  });
  const isReady = (): boolean =>
    !isStopping &&
    keeper.current() !== null &&
    list.cursor() !== null &&
    isInformed();
  const readiness = createServer((_, res) => {
    res.writeHead(isReady() ? 200 : 503, {'content-length': 0});
    res.end();
  });
  leadership.subscribe(() => {
    const tables = leadership.tables();
    if (tables === null) return issuer.close();
    owners.takeTables(tables);
    issuer.review();
  });
  list.subscribe(() => issuer.review());

  const {callers, readiness: readyAt, peers} = settings.listen;
  const links = await serveLinks({
    listen: peers,
    clock,
    emit,
    room: settings.host.room,
    onOffered: () => succession.answer(),
    leadership,
    issuer,
    list,
    suspects,
    limits,
    configCursor: () => keeper.toldCursor(),
    config: () => keeper.packed(),
    configAgeMs: () => keeper.ageMs(),
    leader: () => link.leader(),
    // One that leaves is to be followed by whoever is chosen now.
    touchMs: () =>
      isStopping
        ? LEAVING_TOUCH_MS
        : Math.min(routers.touchMs(), leadership.touchMs()),
    noteReplaced: server => owners.noteReplaced(server),
    noteLeaving,
    noteRequest: (service, key) => owners.noteRequest(service, key),
  });
  const addresses = {
    callers: await listenAt(entry.server, callers),
    readiness: await listenAt(readiness, readyAt),
    metrics: await listenAt(metrics.server, settings.listen.metrics),
  };
  const stopVitals = watchVitals(clock, emit, {
    lagMs: () => lag.ms(),
    inFlight: () => entry.inFlight(),
    isLeading: () => leadership.isLeading(),
    followers: () => links.followers(),
    waiting: () => issuer.waiting(),
    callCounts: () => platform.callCounts(),
  });
  emit('started', {
    self,
    ...addresses,
    dataCentre: settings.host.dataCentre,
    ...settings.host.room,
  });

  keepUp({
    ...{platform, clock, emit, leadership, list, owners, link},
    leaveWithinMs: settings.servers.leaveWithinMs,
    goesOn,
    keyedServices,
    shareConnections,
    takeOwn() {
      routerCount.note(links.followers() + 1);
      leadership.takeCounts(owners.drainCounts());
      times.add(drainTimes(backends, keeper.current()?.services.keys() ?? []));
    },
  });

  const closeAll = (): void => {
    isOver = true;
    lag.stop();
    stopVitals();
    leadership.resign();
    keeper.stop();
    link.stop();
    links.close();
    readiness.close();
    metrics.server.close();
  };

  return {
    addresses,
    async stop() {
      if (isStopping) return;
      isStopping = true;
      await stopRouter({
        ...{clock, emit, entry, routers, leadership, goesOn, closeAll},
        graceMs: settings.stop.graceMs,
      });
      await log.flush(100);
    },
  };
}

/** The address in a router's name, `host@ip:port#boot`. */
function addressOf(name: string): string {
  return name.slice(name.indexOf('@') + 1, name.lastIndexOf('#'));
}

function countUnheld(tables: ServedTables | null): number {
  let count = 0;
  for (const ranges of tables?.values() ?? []) {
    count += ranges.filter(({server}) => server === null).length;
  }
  return count;
}
