import {createServer, type Server} from 'node:http';
import type {RetryOutcome} from '@banyandrum/dispatch/retry-decision.js';
import type {RefusalCount} from '@banyandrum/slots/queue-report.js';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {RequestOutcome} from './log-request.js';
import type {PageHandler} from './quarantine-page.js';
import {addTimeMetrics, type TimeMetricsSource} from './time-metrics.js';

/** Values that the gauges read when metrics are scraped. */
export interface MetricsSource {
  routers(): number;
  isLeading(): boolean;
  /** Requests that wait here for a slot at a server. */
  waiting(): number;
  listAgeMs(): number;
  leaderAgeMs(): number;
  configVersion(): number;
  /** Time since it was confirmed that no configuration is newer, in ms. */
  configAgeMs(): number;
  /** How long the pending read of the configuration has taken, in ms. */
  configReadMs(): number;
  droppedLines(): number;
  /** Key ranges without an owner, if this router leads; else 0. */
  unheldRanges(): number;
  /** Late answers per second by which keys are placed, if this router leads. */
  expectedLate(): number;
  /** Requests that were in flight when servers crashed, by status. */
  suspected(): number;
  quarantined(): number;
  /** Data centres whose servers get no requests. */
  evacuatedDataCentres(): number;
  /** Requests from this router that servers in them are running. */
  evacuatedInFlight(): number;
  /** Servers that started recently and get few requests. */
  coldServers(): number;
  /** Questions to servers whether they are cold, since the start. */
  coldQuestions(): number;
  /** Servers that reported a request limit. */
  limitedServers(): number;
  /** Servers whose requested rest period has not ended. */
  restingServers(): number;
  /** Servers that this router can't reach although others can. */
  unreachableServers(): number;
  /** Attempts that this router sends for others now. */
  carried(): number;
  /** Size of the answers that callers have not read, in bytes. */
  unreadBytes(): number;
  /** Connections closed because of them since the start. */
  unreadClosed(): number;
  /** Memory that the bodies of requests take, in bytes. */
  bodyBytes(): number;
  /** Requests refused since the bodies of all take too much, since the start. */
  bodiesRefused(): number;
  /** Size of the answers that servers are sending, in bytes. */
  answerBytes(): number;
  /** Answers of servers that exceeded each limit since the start. */
  answersTooLarge(): Readonly<Record<string, number>>;
  /** Answers to lease calls since the start, by how they were matched. */
  leaseAnswers(): Readonly<Record<string, number>>;
  /** Epoch of the platform's store; incremented by each restore. */
  storeEpoch(): number;
  /** Time since a leader told the number of routers, in ms. */
  routersAgeMs(): number;
  /** Retries that this router may send now, by service. */
  retriesLeft(): Iterable<readonly [service: string, left: number]>;
  readonly requestTimes: TimeMetricsSource['requestTimes'];
  /** Requests that this router refused a slot as the leader, by reason. */
  slotRefusals(): Iterable<RefusalCount>;
}

/** The process's metrics and the HTTP server that exposes them. */
export interface Metrics {
  readonly server: Server;
  recordRequest(outcome: RequestOutcome): void;
  /** Counts a decision on sending a request to a server again. */
  recordRetry(service: string, outcome: RetryOutcome): void;
}

/** Upper bounds in seconds: from fast responses to the longest timeouts. */
const DURATION_BUCKETS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/** Upper bounds in seconds. */
const READ_DELAY_BUCKETS = [0.06, 0.125, 0.25, 0.5, 1, 2];
/**
 * Further routes share one label, which bounds the number of time series:
 * configurations may add hundreds of routes.
 */
const MAX_ROUTE_LABELS = 40;
const OTHER_ROUTES_LABEL = 'other';

/**
 * Creates the process's metrics. The number of label values is bounded: routes,
 * statuses and outcome codes.
 *
 * @example
 * ```ts
 * const metrics = createMetrics(source, () => false);
 * metrics.server.listen(9464);
 * ```
 */
export function createMetrics(
  source: MetricsSource,
  servePage: PageHandler,
): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'banyandrum_requests_total',
    help: 'Requests answered, by route, status and outcome',
    labelNames: ['route', 'status', 'outcome'],
    registers,
  });
  const durations = new Histogram({
    name: 'banyandrum_request_seconds',
    help: 'Time from the request’s head to its answer',
    labelNames: ['route'],
    buckets: DURATION_BUCKETS,
    registers,
  });
  const readDelays = new Histogram({
    name: 'banyandrum_read_delay_seconds',
    help: 'How long requests may have waited unread',
    buckets: READ_DELAY_BUCKETS,
    registers,
  });
  const intakeRefusals = new Counter({
    name: 'banyandrum_intake_refusals_total',
    help: 'Requests refused before a server was looked for, by reason',
    labelNames: ['why'],
    registers,
  });
  const retries = new Counter({
    name: 'banyandrum_retries_total',
    help: 'Retries sent to servers, or withheld, by service and reason',
    labelNames: ['service', 'outcome'],
    registers,
  });
  const gauges: Readonly<Record<string, readonly [string, () => number]>> = {
    routers: ['Routers counted by a leader; 0: unknown', source.routers],
    routers_age_seconds: [
      'Since a leader told the number of routers',
      inSeconds(source.routersAgeMs),
    ],
    leading: ['1 while this router leads', () => Number(source.isLeading())],
    waiting: ['Requests that wait for a place', source.waiting],
    list_age_seconds: ['Age of the servers’ list', inSeconds(source.listAgeMs)],
    leader_age_seconds: [
      'Since the leader spoke',
      inSeconds(source.leaderAgeMs),
    ],
    config_version: ['Version of the configuration', source.configVersion],
    config_age_seconds: [
      'Since it was confirmed that no configuration is newer',
      inSeconds(source.configAgeMs),
    ],
    config_read_seconds: [
      'How long the pending read of the configuration has taken',
      inSeconds(source.configReadMs),
    ],
    log_dropped_lines: ['Log lines dropped', source.droppedLines],
    expected_late_per_second: [
      'Late answers expected where keys are placed by latency',
      source.expectedLate,
    ],
    unheld_ranges: ['Key ranges that nobody serves', source.unheldRanges],
    suspected_requests: [
      'Contents under which servers ended, not refused',
      source.suspected,
    ],
    quarantined_requests: [
      'Contents that are refused, as servers end under them',
      source.quarantined,
    ],
    evacuated_data_centres: [
      'Data centres that operators have evacuated',
      source.evacuatedDataCentres,
    ],
    evacuated_in_flight: [
      'Requests from here that still run in evacuated data centres',
      source.evacuatedInFlight,
    ],
    cold_servers: [
      'Servers that get few requests after their start',
      source.coldServers,
    ],
    cold_questions: [
      'Questions to servers whether they are cold, as their list is late',
      source.coldQuestions,
    ],
    limited_servers: [
      'Servers that named a limit on requests',
      source.limitedServers,
    ],
    resting_servers: [
      'Servers that want no requests of this router now',
      source.restingServers,
    ],
    unreachable_servers: [
      'Servers that only other routers reach',
      source.unreachableServers,
    ],
    carried_requests: [
      'Requests that are being sent for other routers',
      source.carried,
    ],
    unread_bytes: [
      'Size of answers that callers have not read',
      source.unreadBytes,
    ],
    unread_closed: [
      'Connections closed as their callers read nothing',
      source.unreadClosed,
    ],
    body_bytes: ['Memory of the bodies of requests', source.bodyBytes],
    bodies_refused: [
      'Requests refused as the bodies of all take too much memory',
      source.bodiesRefused,
    ],
    answer_bytes: [
      'Size of the answers that servers are sending',
      source.answerBytes,
    ],
    store_epoch: [
      'Epoch of the store’s history; rises when it is restored from a copy',
      source.storeEpoch,
    ],
  };
  for (const [name, [help, read]] of Object.entries(gauges)) {
    const gauge: Gauge = new Gauge({
      name: `banyandrum_${name}`,
      help,
      registers,
      collect: (): void => gauge.set(read()),
    });
  }
  const retriesLeft: Gauge = new Gauge({
    name: 'banyandrum_retries_left',
    help: 'Retries that this router may send now, by service',
    labelNames: ['service'],
    registers,
    collect() {
      retriesLeft.reset();
      for (const [service, left] of source.retriesLeft())
        retriesLeft.set({service}, left);
    },
  });
  addTimeMetrics(registry, source);
  const refusals: Counter = new Counter({
    name: 'banyandrum_slot_refusals_total',
    help: 'Requests refused a slot by this router as leader, by reason',
    labelNames: ['service', 'why'],
    registers,
    collect() {
      refusals.reset();
      for (const {service, why, count} of source.slotRefusals())
        refusals.inc({service, why}, count);
    },
  });
  const tooLarge: Counter = new Counter({
    name: 'banyandrum_answers_too_large_total',
    help: 'Answers of servers that were cut off, by the limit they exceeded',
    labelNames: ['limit'],
    registers,
    collect() {
      tooLarge.reset();
      for (const [limit, count] of Object.entries(source.answersTooLarge()))
        tooLarge.inc({limit}, count);
    },
  });
  const leaseAnswers: Counter = new Counter({
    name: 'banyandrum_lease_answers_total',
    help: 'Answers to lease calls, by how they were matched to their calls',
    labelNames: ['match'],
    registers,
    collect() {
      leaseAnswers.reset();
      for (const [match, count] of Object.entries(source.leaseAnswers()))
        leaseAnswers.inc({match}, count);
    },
  });
  const routes = new Set<string>();
  const labelOf = (route: string | null): string => {
    if (route === null) return 'none';
    if (routes.has(route)) return route;
    if (routes.size >= MAX_ROUTE_LABELS) return OTHER_ROUTES_LABEL;
    routes.add(route);
    return route;
  };
  return {
    server: createServer((req, res) => {
      if (servePage(req, res)) return;
      void registry.metrics().then(text => {
        res.writeHead(200, {'content-type': registry.contentType});
        res.end(text);
      });
    }),
    recordRequest({route, status, outcome, tookMs, readDelayMs, refusal}) {
      if (refusal !== null) intakeRefusals.inc({why: refusal});
      readDelays.observe(readDelayMs / 1_000);
      const label = labelOf(route);
      requests.inc({route: label, status, outcome});
      durations.observe({route: label}, tookMs / 1000);
    },
    recordRetry: (service, outcome) => retries.inc({service, outcome}),
  };
}

/** Converts an age to seconds; an infinite age is reported as one day. */
function inSeconds(ageMs: () => number): () => number {
  return () => Math.min(ageMs() / 1000, 86_400);
}
