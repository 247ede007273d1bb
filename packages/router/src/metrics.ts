import type {Clock} from '@banyandrum/base/clock.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import type {CellId} from '@banyandrum/base/ids.js';
import {versionOf} from '@banyandrum/config/fold.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {CellDescription} from '@banyandrum/ownership/cell-leader.js';
import type {LeaderQueues} from '@banyandrum/requests/leader-queues.js';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {collectDefaultMetrics} from 'prom-client';
import type {Cells} from './cells.js';

export interface MetricsOptions {
  readonly store: StateStore;
  readonly cells: Cells;
  readonly queues: LeaderQueues;
  readonly clock: Clock;
}

/** What this process measures of itself. */
export interface Metrics {
  readonly registry: Registry;
  /** Counts and times the requests that pass through a handler. */
  measure(handle: RequestHandler): RequestHandler;
}

const LATENCY_BUCKETS = [
  0.001, 0.002, 0.005, 0.009, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 10,
];
const MS_PER_SECOND = 1000;

/**
 * Makes the metrics of a router; gauges are read when they are scraped.
 *
 * @example
 * ```ts
 * const metrics = createMetrics({store, cells, queues, clock});
 * const handle = metrics.measure(entry.handle);
 * ```
 */
export function createMetrics(options: MetricsOptions): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({register: registry, prefix: 'banyandrum_'});
  addStateGauges(registry, options);
  addCellGauges(registry, options);
  return {registry, measure: createMeasure(registry, options.clock)};
}

function createMeasure(
  registry: Registry,
  clock: Clock,
): (handle: RequestHandler) => RequestHandler {
  const requests = new Counter({
    name: 'banyandrum_requests_total',
    help: 'Requests of callers by outcome.',
    labelNames: ['service', 'verdict', 'code'],
    registers: [registry],
  });
  const seconds = new Histogram({
    name: 'banyandrum_request_seconds',
    help: 'Time to the head of an answer, by precedence.',
    labelNames: ['precedence'],
    buckets: LATENCY_BUCKETS,
    registers: [registry],
  });
  return handle => async req => {
    const start = clock.now();
    const result = await handle(req);
    const took = (clock.now() - start) / MS_PER_SECOND;
    seconds.observe({precedence: req.precedence}, took);
    const verdict = result.ok ? 'ran' : result.val.verdict;
    const code = result.ok ? 'ok' : result.val.code;
    // An unknown service is the caller's text; as a label it could grow
    // without bound.
    const service = code === 'unknown-service' ? 'unknown' : req.service;
    requests.inc({service, verdict, code});
    return result;
  };
}

function addStateGauges(registry: Registry, options: MetricsOptions): void {
  const {store, clock} = options;
  addGauge(registry, 'banyandrum_config_version', 'Version in force.', gauge =>
    gauge.set(versionOf(store.current())),
  );
  addGauge(
    registry,
    'banyandrum_log_confirmed_age_seconds',
    "Age of the last confirmed read of the log's end.",
    gauge => {
      const age = (clock.now() - store.confirmedAt()) / MS_PER_SECOND;
      if (Number.isFinite(age)) gauge.set(age);
    },
  );
}

interface CellGauge {
  readonly name: string;
  readonly help: string;
  read(cell: CellDescription, options: MetricsOptions): number;
}

const CELL_GAUGES: readonly CellGauge[] = [
  {
    name: 'banyandrum_cell_may_act',
    help: 'Whether this leader may act now.',
    read: ({mayAct}) => (mayAct ? 1 : 0),
  },
  {
    name: 'banyandrum_cell_unserved_shards',
    help: 'Shards that no server may serve now.',
    read: ({shards}) => shards.filter(({servable}) => !servable).length,
  },
  {
    name: 'banyandrum_cell_leases',
    help: 'Servers with a lease in force.',
    read: ({servers}) =>
      servers.filter(({leaseLeftMs}) => (leaseLeftMs ?? 0) > 0).length,
  },
  {
    name: 'banyandrum_cell_queued',
    help: 'Requests that wait for a slot.',
    read: ({cell}, {queues}) => sumOf(queues, cell, entry => entry.queued),
  },
  {
    name: 'banyandrum_cell_imbalance',
    help: 'Busiest server over the mean, by slots kept busy.',
    read: ({cell}, {queues}) => imbalanceOf(queues, cell),
  },
];

function addCellGauges(registry: Registry, options: MetricsOptions): void {
  for (const {name, help, read} of CELL_GAUGES) {
    addGauge(
      registry,
      name,
      help,
      gauge => {
        gauge.reset();
        for (const cell of options.cells.describe()) {
          gauge.set({cell: cell.cell}, read(cell, options));
        }
      },
      ['cell'],
    );
  }
}

function addGauge(
  registry: Registry,
  name: string,
  help: string,
  read: (gauge: Gauge) => void,
  labelNames: readonly string[] = [],
): void {
  new Gauge({
    name,
    help,
    labelNames: [...labelNames],
    registers: [registry],
    collect() {
      read(this);
    },
  });
}

type Observation = ReturnType<LeaderQueues['read']>['servers'][number];

function sumOf(
  queues: LeaderQueues,
  cell: CellId,
  value: (entry: Observation) => number,
): number {
  const {servers} = queues.read(cell);
  return servers.reduce((sum, entry) => sum + value(entry), 0);
}

function imbalanceOf(queues: LeaderQueues, cell: CellId): number {
  const {servers} = queues.read(cell);
  const total = sumOf(queues, cell, entry => entry.busy);
  if (total === 0) return 1;
  const most = Math.max(...servers.map(({busy}) => busy));
  return (most * servers.length) / total;
}
