import {createServer} from 'node:http';
import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {createId} from '@banyandrum/base/ids.js';
import {createAnswerLimits} from '@banyandrum/dispatch/answer-limits.js';
import {askHealth, type AskHealth} from '@banyandrum/dispatch/ask-health.js';
import {createBackends, type Backends} from '@banyandrum/dispatch/backends.js';
import {hashCaller} from '@banyandrum/dispatch/caller-hash.js';
import {createSlotAllocator} from '@banyandrum/slots/slot-allocator.js';
import {createQuarantine} from '@banyandrum/dispatch/quarantine.js';
import {createRetryBudget} from '@banyandrum/dispatch/retry-budget.js';
import {createCrashDetector} from '@banyandrum/dispatch/crash-detector.js';
import {combineLimits} from '@banyandrum/dispatch/cold-limits.js';
import {createServerLimits} from '@banyandrum/dispatch/server-limits.js';
import {createServerRests} from '@banyandrum/dispatch/server-rests.js';
import {noteServerSignals} from '@banyandrum/dispatch/server-signals.js';
import {createSuspects} from '@banyandrum/dispatch/suspects.js';
import {createLeaseTiming} from '@banyandrum/ranges/lease-timing.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import {createSplitter} from '@banyandrum/routing/split.js';
import {createBodyMemory} from './body-memory.js';
import {createColdServers} from './cold-servers.js';
import {createConfigKeeper} from './config-keeper.js';
import {evacuateBackends} from './evacuate-backends.js';
import {createEvacuations} from './evacuations.js';
import {createFrontend} from './frontend.js';
import type {EventLog} from './event-log.js';
import {startRefreshLoops} from './refresh-loops.js';
import {createKeyOwners, type ServedTables} from './key-owners.js';
import {admitAsks, refuseForLateLeader} from './ask-admission.js';
import {askTermEnd} from './ask-term-end.js';
import {createLeadership} from './leadership.js';
import {createLeaderlessRetry} from './leaderless-retry.js';
import {listAssignableServers} from './assignable-servers.js';
import {limitConnections} from './limit-connections.js';
import {followLeader} from './link-client.js';
import {serveLinks} from './link-server.js';
import {listenAt} from './listen.js';
import {createLocalSlotProvider} from './local-slot-provider.js';
import {joinRouterGroup} from './membership.js';
import {monitorLoopLag} from './loop-lag.js';
import {monitorReadDelay} from './read-delay.js';
import {createLeaseAnswers} from './lease-answers.js';
import {createMetrics, type MetricsSource} from './metrics.js';
import type {Platform} from './platform.js';
import {createQuarantinePage} from './quarantine-page.js';
import {createOpenRequests} from './open-requests.js';
import {createRequestIntake} from './request-intake.js';
import {createRequestTimes} from './request-times.js';
import {createRouterCount} from './router-count.js';
import {createCarryServer} from './carry-server.js';
import {createDeputySuccession} from './deputy-succession.js';
import {probeHost} from './probe-host.js';
import {createServerList} from './server-list.js';
import {measureSlotResponses} from './slot-response-times.js';
import {createServerReach} from './server-reach.js';
import {createServiceTimes, drainServiceTimes} from './service-times.js';
import type {Settings} from './settings.js';
import {shareSuspects} from './share-suspects.js';
import {stopRouter} from './stop-router.js';
import {createLeaderElection} from './leader-election.js';
import {createUnreadAnswers} from './unread-answers.js';
import {reportQueueShares} from './queue-reports.js';
import {reportVitals} from './vitals.js';
import {reduceStoreCalls} from './store-contact.js';
import {createSuspendAwareTime} from './suspend-aware-clock.js';

/** A running router process. */
export interface RouterProcess {
  /** `ip:port` that each interface listens on. */
  readonly addresses: {
    readonly callers: string;
    readonly readiness: string;
    readonly metrics: string;
  };
  /** Applies those of the changed settings that need no restart. */
  applySettings(settings: Settings): void;
  /** Stops gracefully: requests in flight are completed. */
  stop(): Promise<void>;
}

/**
 * The list of servers counts as complete once no new server has appeared for
 * this time, in ms. In the known deployments servers register within a second;
 * the rest covers one read of the list.
 */
const SERVER_LIST_SETTLE_MS = 1_500;
/** Time to write the buffered log at the end of the process, in ms. */
const LOG_FLUSH_MS = 100;
/**
 * Age of its last contact with the platform that a stopping leader reports, in
 * ms, so that its followers consider it out of contact.
 */
const STOPPING_CONTACT_AGE_MS = 1e6;

/**
 * Runs a router: the frontend, readiness and metrics servers, the links to the
 * other routers, and leadership when this router is chosen to lead.
 *
 * @example
 * ```ts
 * const router = await runRouter(settings, platform, log);
 * process.once('SIGTERM', () => void router.stop());
 * ```
 */
export async function runRouter(
  settings: Settings,
  externalPlatform: Platform,
  log: EventLog,
  clock: Clock = createClock(),
): Promise<RouterProcess> {
  const {emit} = log;
  const bootId = createId();
  const self = `${settings.host.name}@${settings.listen.peers}#${bootId}`;
  let isStopping = false;
  let isClosed = false;
  const goesOn = (): boolean => !isClosed;

  const storeCalls = reduceStoreCalls(
    settings.platform.storeCalls,
    {clock, emit, isLeading: () => leadership.isLeading()},
    externalPlatform,
  );
  const {platform} = storeCalls;
  const answers = createAnswerLimits(settings.answers);
  const backends = createBackends(clock, answers);
  const serverList = createServerList(
    clock,
    emit,
    settings.servers.leaveWithinMs,
    service => serviceConfig(service) !== undefined,
  );
  const keyOwners = createKeyOwners(clock, emit);
  const serviceTimes = createServiceTimes();
  serverList.subscribe(() => backends.update(serverList.snapshot()!.servers));
  const requestTimes = createRequestTimes({
    ...{clock, emit, list: serverList},
    mode: settings.scheduling.requestTimes,
    config: () => configKeeper.current(),
    isLeading: () => leadership.isLeading(),
  });
  const suspects = createSuspects(clock, emit);
  const serverLimits = createServerLimits({clock, emit});
  const serviceConfig = (service: string): ServiceConfig | undefined =>
    configKeeper.current()?.services.get(service);
  const hasLeader = (): boolean =>
    leadership.isLeading() || linkClient.leader() !== null;
  const coldServers = createColdServers({
    ...{clock, emit, backends, serviceConfig, names: platform.names},
    list: serverList,
    askHealth: (backend, path) => reach.askHealth(backend, path),
    senders: () => (hasLeader() ? 1 : (routerCount.current() ?? Infinity)),
  });
  const requestLimits = combineLimits(serverLimits, coldServers.limits);
  const serverRests = createServerRests({clock, emit});
  const askHealthDirectly: AskHealth = (backend, path) =>
    askHealth(platform.names, backend, path);
  const reach = createServerReach({
    ...{clock, emit, backends, askHealthDirectly},
    carrierAddresses: () => {
      const followers = leadership.isLeading() ? linkServer.carriers() : [];
      return [...new Set([...followers, ...linkClient.carriers()])];
    },
  });
  const {paths, carriers} = reach;
  const crashDetector = createCrashDetector({clock, probe: reach.probe});
  serverList.subscribe(() => {
    crashDetector
      .watchedServers()
      .filter(serverList.isReplaced)
      .forEach(crashDetector.noteReplaced);
  });

  const keyedServices = (): readonly string[] =>
    [...(configKeeper.current()?.services.values() ?? [])]
      .filter(({isKeyed}) => isKeyed)
      .map(({name}) => name);
  // Only an answer at the server's address proves that. An entry at that address
  // may be of another writer, while the server holds its keys.
  const hasEnded = keyOwners.isReplaced;

  let restoredAt = -Infinity;
  /** When this router's last term ended, in ms. */
  let termEndedAt = -Infinity;
  platform.history.subscribe((storeEpoch, before) => {
    if (before !== null) restoredAt = clock.now();
    emit('store-epoch', {storeEpoch, before});
  });
  const assignableServersCfg = {
    backends,
    times: serviceTimes,
    requestTimes: requestTimes.part.times,
    clock,
    limits: requestLimits,
    paths,
    hasEnded,
  };
  const suspendAwareNow = createSuspendAwareTime(clock, Date.now);
  const leadership = createLeadership({
    platform,
    clock,
    suspendAwareNow,
    emit,
    bootId,
    address: settings.listen.peers,
    askTermEnd: (address, question) => askTermEnd(clock, address, question),
    keyedServices,
    timing: createLeaseTiming(settings.servers.holdMaxMs),
    serversOf: service => listAssignableServers(assignableServersCfg, service),
    hasEnded,
    isListSettled: () => serverList.sinceNewServerMs() >= SERVER_LIST_SETTLE_MS,
    waitingKeys: service => slotAllocator.waitingKeys(service),
    runningKeys: service => slotAllocator.runningKeys(service),
    profileOf: service =>
      settings.scheduling.placement === 'latency'
        ? requestTimes.profileOf(service)
        : null,
    isFirstStart: settings.platform.isFirstStart,
  });
  const routerGroup = joinRouterGroup({
    members: platform.members(self),
    clock,
    suspendAwareNow,
    emit,
    onJoined() {
      if (routerGroup.isChosen()) storeCalls.endStartup();
      void election.runIfNeeded();
    },
    silenceMinMs: settings.platform.silenceMinMs,
    learnWithinMs: Math.min(
      settings.servers.leaveWithinMs,
      settings.configuration.applyWithinMs,
    ),
    reducesCalls: storeCalls.isReduced,
    knowsDeputies: () =>
      storeCalls.isReduced && linkClient.deputies().length > 0,
    onReplaced: () => leadership.checkTerm(),
    maySucceed: () => linkClient.isDeputy(),
    maySkipJoin: () =>
      !leadership.isLeading() &&
      linkClient.hasOtherDeputies() &&
      !storeCalls.isPaused(),
    followsLeader: hasLeader,
    isLeading: leadership.isLeading,
  });
  const routerCount = createRouterCount(clock);
  const retryBudget = createRetryBudget(settings.retries, {
    ...{clock, routers: routerCount, random: Math.random},
  });
  const updateConnectionLimits = (): void => {
    const services = configKeeper.current()?.services;
    if (services === undefined) return;
    limitConnections(backends, services, routerCount.current());
  };
  const recordRouterCount = (count: number): void => {
    const wasKnown = routerCount.current() !== null;
    routerCount.record(count);
    if (!wasKnown) updateConnectionLimits();
  };
  const chosenAddress = (): string | null => {
    const name = routerGroup.chosenName();
    return name === null || name === self ? null : addressOfRouter(name);
  };
  const acceptLeadershipOffer = async (): Promise<boolean> =>
    !isStopping && (await leadership.startTerm());
  const linkClient = followLeader({
    clock,
    emit,
    owners: keyOwners,
    list: serverList,
    suspects,
    limits: serverLimits,
    ...requestTimes.part,
    chosenAddress,
    isLeading: () => leadership.isLeading(),
    self: {address: settings.listen.peers, ...settings.host},
    onLeadershipOffered() {
      if (!paths.isRouterCutOff()) void acceptLeadershipOffer();
    },
    onLeaderLost(address) {
      succession.noteLeaderLost(address);
      void election.runIfNeeded();
    },
    isGone: address => succession.isGone(address),
    ownDeputies: () =>
      clock.now() - termEndedAt < linkClient.leaderAgeMs()
        ? linkServer.deputies()
        : [],
    unreachableCount: paths.unreachableCount,
    termEpoch: () => leadership.epoch(),
    onConfigCursor: cursor => configKeeper.onCursorAnnounced(cursor),
    applyConfig: (config, cursor, leader) =>
      configKeeper.applyRelayed(config, cursor, leader),
    confirmConfig: (ageMs, leader) =>
      configKeeper.confirmRelayed(ageMs, leader),
    configPosition: () => configKeeper.position(),
    applyPosition: (position, leader) =>
      configKeeper.applyRelayedPosition(position, leader),
    setRouterCount: recordRouterCount,
  });
  const succession = createDeputySuccession({
    ...{clock, emit, self: settings.listen.peers},
    deputies: linkClient.deputies,
    hasLeader,
    contactAgeMs: () => routerGroup.contactAgeMs(),
    leaderlessNeighbourAgeMs: linkClient.leaderlessNeighbourAgeMs,
    probe: address => probeHost(clock, address),
    onDue: () => void election.runIfNeeded(),
  });
  const election = createLeaderElection({
    emit,
    self: settings.listen.peers,
    isChosen: () => routerGroup.isChosen(),
    isSuccessor: () => !paths.isRouterCutOff() && succession.isDue(),
    isGone: succession.isGone,
    isLeading: () => leadership.isLeading(),
    sinceRestoreMs: () => clock.now() - restoredAt,
    leaderContactAgeMs: () => linkClient.leaderContactAgeMs(),
    readLastLeader: () => platform.ledger.lastLeader(),
    hasFollowed: () => linkClient.leaderAgeMs() < Infinity,
    followAt: linkClient.followAt,
    deputies: () => linkClient.deputies(),
    room: settings.host.room,
    isCutOff: paths.isRouterCutOff,
    offerLeadership: linkClient.offerLeadership,
    startTerm: acceptLeadershipOffer,
  });
  const slotAllocator = createSlotAllocator({
    backends,
    clock,
    emit,
    ownerOf: (service, key) => keyOwners.ownerOf(service, key),
    onNotHeld: leadership.noteNotHeld,
    onAnswer: coldServers.check.noteAnswer,
    suspects,
    limits: requestLimits,
    ...requestTimes.part,
    queue: settings.scheduling.queue,
  });
  const reportLeaving = (server: string): void => {
    if (!serverList.noteLeaving(server) || leadership.isLeading()) return;
    linkClient.reportLeaving(server);
  };
  const signalsCfg = {
    ...{names: platform.names, limits: serverLimits, rests: serverRests},
    noteLeaving: reportLeaving,
  };
  paths.subscribe(() => linkClient.reportUnreachable());
  const leaseAnswers = createLeaseAnswers(platform.names, emit);
  platform.subscribeLeaseCallOutcomes(outcome => {
    reach.noteLeaseCall(outcome);
    leaseAnswers.note(outcome);
    noteServerSignals(signalsCfg, outcome);
  });
  serverLimits.subscribe((row, isOwn) => {
    if (isOwn && !leadership.isLeading()) linkClient.reportLimits([row]);
  });
  const evacuations = createEvacuations({
    ...{clock, emit, sinceRestoreMs: () => clock.now() - restoredAt},
  });
  evacuateBackends({
    ...{evacuations, backends, settings, serviceConfig},
    onChange: () => slotAllocator.reevaluate(),
  });
  const configKeeper = createConfigKeeper({
    ...{platform, evacuations, clock, suspendAwareNow, emit},
    ...storeCalls.part,
    isRelayed: () => !leadership.isLeading() && linkClient.relaysConfig(),
  });
  configKeeper.subscribe(() => {
    const config = configKeeper.current()!;
    frontend.applyLimits(config);
    updateConnectionLimits();
  });

  const isQuarantineKnown = shareSuspects({
    ...{platform, clock, emit, leadership, suspects, link: linkClient, goesOn},
    ...storeCalls.part,
    unixNow: Date.now,
  });
  const loopLag = monitorLoopLag(clock);
  const readDelays = monitorReadDelay(clock, suspendAwareNow);
  const intake = createRequestIntake({
    delays: readDelays,
    now: () => clock.now(),
  });
  const unread = createUnreadAnswers({
    ...{clock, emit},
    limits: {
      maxBytes: settings.callers.maxUnreadBytes,
      maxMs: settings.callers.maxUnreadMs,
    },
  });
  const measuredSlots = measureSlotResponses(
    createLocalSlotProvider({
      leadership,
      allocator: slotAllocator,
      owners: keyOwners,
      link: linkClient,
    }),
    clock,
  );
  const slotProvider = admitAsks({
    ...{clock, emit, provider: measuredSlots, random: Math.random},
    whenLimited: refuseForLateLeader,
  });
  const openRequests = createOpenRequests(emit);
  const bodies = createBodyMemory(settings.callers.maxBodiesBytes, clock);
  const metricsSource: MetricsSource = {
    routers: () => routerCount.current() ?? 0,
    isLeading: () => leadership.isLeading(),
    waiting: () => slotAllocator.waitingCount(),
    listAgeMs: () => serverList.ageMs(),
    leaderAgeMs: () => linkClient.leaderAgeMs(),
    configVersion: () => configKeeper.current()?.version ?? 0,
    configAgeMs: () => configKeeper.status().ageMs,
    configReadMs: () => configKeeper.status().readMs,
    droppedLines: () => log.dropped(),
    expectedLate: () => leadership.expectedLate(),
    unheldRanges: () => countUnheldRanges(leadership.tables()),
    suspected: () => suspects.count('suspected'),
    quarantined: () => suspects.count('quarantined'),
    evacuatedDataCentres: () => evacuations.current().size,
    evacuatedInFlight: () => countEvacuatedInFlight(backends),
    coldServers: () => coldServers.limits.count(),
    coldQuestions: () => coldServers.check.asked(),
    limitedServers: () => serverLimits.count(),
    restingServers: () => serverRests.count(),
    unreachableServers: paths.unreachableCount,
    unreadBytes: unread.bytes,
    unreadClosed: unread.closed,
    bodyBytes: bodies.heldBytes,
    bodiesRefused: bodies.refused,
    answerBytes: answers.heldBytes,
    answersTooLarge: answers.exceeded,
    leaseAnswers: leaseAnswers.counts,
    carried: () => carryServer.inFlight(),
    storeEpoch: () => platform.history.epoch(),
    routersAgeMs: routerCount.ageMs,
    retriesLeft: () =>
      [...retryBudget.services()].map(
        service => [service, retryBudget.basis(service).left] as const,
      ),
    requestTimes,
    slotRefusals: () => slotAllocator.refusals(),
  };
  const quarantinePage = createQuarantinePage(
    suspects,
    settings.operators.tokens,
  );
  const metrics = createMetrics(metricsSource, quarantinePage);
  const frontend = createFrontend({
    clock,
    emit,
    unread,
    recordRequest: metrics.recordRequest,
    splitter: createSplitter(),
    config: () => configKeeper.current(),
    configStatus: () => configKeeper.status(),
    configApplyMs: settings.configuration.applyWithinMs,
    isQuarantineKnown: () => isQuarantineKnown(),
    sustainedLagMs: loopLag.sustainedMs,
    delays: readDelays,
    intake,
    openRequests,
    bodies,
    callerLimits: settings.callers,
    forward: {
      backends,
      paths,
      carriers,
      owners: {
        ...keyOwners,
        noteReplaced(server) {
          keyOwners.noteReplaced(server);
          crashDetector.noteReplaced(server);
          linkClient.reportReplaced(server);
        },
      },
      slotProvider,
      requestLimits,
      dataCentre: settings.host.dataCentre,
      regionOf: dataCentre =>
        settings.dataCentres.regions.get(dataCentre) ?? null,
      budget: retryBudget,
      recordRetry: metrics.recordRetry,
      quarantine: createQuarantine(suspects, crashDetector),
      onAnswer(backend, tookMs) {
        // A leader hears of all answers.
        if (!hasLeader()) coldServers.check.noteAnswer(backend, tookMs);
      },
      ...signalsCfg,
      ...requestTimes.part,
      clock,
      emit,
      routers: routerCount,
      catchUp: intake.catchUp,
      leaderlessRetryMs: createLeaderlessRetry({
        ...{clock, random: Math.random},
        leaderAgeMs: () =>
          Math.min(linkClient.leaderAgeMs(), clock.now() - termEndedAt),
      }),
      ...(settings.scheduling.queue === 'fair' && {hashCaller}),
    },
  });
  const isReady = (): boolean =>
    !isStopping &&
    configKeeper.current() !== null &&
    serverList.cursor() !== null &&
    isQuarantineKnown();
  const readiness = createServer((_, res) => {
    res.writeHead(isReady() ? 200 : 503, {'content-length': 0});
    res.end();
  });
  leadership.subscribe(() => {
    const tables = leadership.tables();
    if (tables === null) {
      termEndedAt = clock.now();
      return slotAllocator.close();
    }
    keyOwners.replaceTables(tables);
    slotAllocator.reevaluate();
  });
  serverList.subscribe(() => slotAllocator.reevaluate());

  const {callers, readiness: readyAt, peers} = settings.listen;
  const carryServer = createCarryServer({
    ...{...signalsCfg, backends, paths, clock, emit},
    probe: reach.probeDirectly,
    askHealth: askHealthDirectly,
    lagMs: loopLag.sustainedMs,
    pollDelayMs: readDelays.pollDelayMs,
    catchUp: intake.catchUp,
  });
  const linkServer = await serveLinks({
    listen: peers,
    self: {address: peers, dataCentre: settings.host.dataCentre},
    paths,
    carryServer,
    clock,
    emit,
    room: settings.host.room,
    onLeadershipOffered: () => election.handleOffer(),
    leadership,
    allocator: slotAllocator,
    list: serverList,
    suspects,
    limits: serverLimits,
    ...requestTimes.part,
    configPosition: () => configKeeper.position(),
    config: () => configKeeper.wireConfig(),
    configAgeMs: () => configKeeper.cursorAgeMs(),
    leader: () => linkClient.leader(),
    // The followers of a stopping leader should switch to the next one chosen.
    contactAgeMs: () =>
      isStopping
        ? STOPPING_CONTACT_AGE_MS
        : Math.min(routerGroup.contactAgeMs(), leadership.confirmationAgeMs()),
    noteReplaced: server => keyOwners.noteReplaced(server),
    noteLeaving: reportLeaving,
    noteEvacuated: configKeeper.applyReported,
    noteRequest: (service, key) => keyOwners.noteRequest(service, key),
  });
  const addresses = {
    callers: await listenAt(frontend.server, callers),
    readiness: await listenAt(readiness, readyAt),
    metrics: await listenAt(metrics.server, settings.listen.metrics),
  };
  const stopVitals = reportVitals(clock, emit, {
    lagMs: () => loopLag.lagMs(),
    takeWorstDelay: readDelays.takeWorst,
    takeSlotResponses: measuredSlots.takeSummary,
    admittedShare: slotProvider.admittedShare,
    inFlight: openRequests.count,
    isLeading: () => leadership.isLeading(),
    followers: () => linkServer.followers(),
    waiting: () => slotAllocator.waitingCount(),
    callCounts: () => platform.callCounts(),
  });
  const stopQueueReports = reportQueueShares(clock, emit, slotAllocator);
  emit('started', {
    self,
    ...addresses,
    dataCentre: settings.host.dataCentre,
    ...settings.host.room,
  });

  startRefreshLoops({
    ...{
      platform,
      clock,
      emit,
      leadership,
      list: serverList,
      owners: keyOwners,
      link: linkClient,
      ...storeCalls.part,
    },
    leaveWithinMs: settings.servers.leaveWithinMs,
    isDeputy: linkClient.isDeputy,
    goesOn,
    keyedServices,
    updateConnectionLimits,
    listReadMs: coldServers.listReadMs,
    routers: () => routerCount.current() ?? Infinity,
    collectOwnMeasurements() {
      recordRouterCount(linkServer.followers() + 1);
      leadership.addRequestCounts(keyOwners.drainCounts());
      serviceTimes.add(
        drainServiceTimes(
          backends,
          configKeeper.current()?.services.keys() ?? [],
        ),
      );
    },
  });

  const shutDown = (): void => {
    isClosed = true;
    loopLag.stop();
    readDelays.stop();
    requestTimes.stop();
    unread.stop();
    stopVitals();
    stopQueueReports();
    leadership.resign();
    configKeeper.stop();
    evacuations.stop();
    linkClient.stop();
    linkServer.close();
    reach.stop();
    readiness.close();
    metrics.server.close();
  };

  return {
    addresses,
    applySettings: ({retries}) => retryBudget.configure(retries),
    async stop() {
      if (isStopping) return;
      isStopping = true;
      await stopRouter({
        ...{
          clock,
          emit,
          frontend,
          openRequests,
          carryServer,
          routers: routerGroup,
          leadership,
          goesOn,
          closeAll: shutDown,
        },
        graceMs: settings.stop.graceMs,
      });
      await log.flush(LOG_FLUSH_MS);
    },
  };
}

/** The address from a router's name, `host@ip:port#boot`. */
function addressOfRouter(name: string): string {
  return name.slice(name.indexOf('@') + 1, name.lastIndexOf('#'));
}

function countEvacuatedInFlight(backends: Backends): number {
  let count = 0;
  for (const {evacuation, inFlight} of backends.all()) {
    if (evacuation !== null) count += inFlight;
  }
  return count;
}

function countUnheldRanges(tables: ServedTables | null): number {
  let count = 0;
  for (const ranges of tables?.values() ?? []) {
    count += ranges.filter(({server}) => server === null).length;
  }
  return count;
}
