import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Server} from '@banyandrum/config/inventory.js';
import {parseRules} from '@banyandrum/config/parse-rules.js';
import type {Rules} from '@banyandrum/config/rules.js';
import {createEntry} from '@banyandrum/requests/entry.js';
import {createVirtualClock} from './experiment-clock.js';
import {
  CELL,
  ENTRIES,
  type ExperimentCell,
  SERVICE,
  startCell,
} from './experiment-cell.js';
import {startEvents} from './experiment-events.js';
import {createTally, type Figures} from './experiment-figures.js';
import {createHotKeyCount, type HotKeyCount} from './experiment-hot-keys.js';
import {offer, type Sample} from './experiment-load.js';
import {type ExperimentPolicy, rulesOf} from './experiment-policies.js';
import {createRandom, type Random} from './experiment-random.js';
import type {Load, Scenario} from './experiment-scenario.js';
import {
  createSimulatedServers,
  type SimulatedServers,
} from './experiment-servers.js';
import {startWatch, type Watch} from './experiment-watch.js';

export interface RunOptions {
  readonly scenario: Scenario;
  readonly policy: ExperimentPolicy;
  /** Multiplies the scenario's load. */
  readonly scale: number;
  readonly seed: number;
}

/** A new leader has the leases in order after so long. */
const SETTLE_MS = 3000;

/** What is under way at the end gets so long to finish. */
const LAST_MS = 1000;

/**
 * Runs one scenario under one policy in virtual time. The same options yield
 * the same figures.
 *
 * @example
 * ```ts
 * const figures = await runScenario({scenario, policy, scale: 3, seed: 1});
 * ```
 */
export async function runScenario(options: RunOptions): Promise<Figures> {
  const {scenario, policy, scale} = options;
  const clock = createVirtualClock();
  const random = createRandom(options.seed);
  const rules = rulesOf(readRules(scenario.user), policy);
  const loads = scenario.load.map(load => toLevel(load, rules, policy));
  const serviceMs = new Map(
    loads.map(({load, precedence}) => [precedence, load.service_ms]),
  );
  const servers = createSimulatedServers({
    clock,
    random,
    slots: scenario.slots,
    serviceMsOf: ({req}) =>
      serviceMs.get(req.precedence) ?? scenario.service_ms,
    leases: policy.moves,
  });
  const inventory: Server[] = [];
  const join = (name: string): void => {
    servers.add(name);
    inventory.push(toServer(name, scenario.slots));
  };
  for (let i = 1; i <= scenario.servers; i++) join(`s${i}`);
  const drains = new Set<string>();
  const cell = startCell({
    clock,
    servers,
    inventory: () => inventory,
    drains,
    shards: scenario.shards,
    rules,
    policy,
  });
  await clock.run(SETTLE_MS);

  const warmUpMs = SETTLE_MS + scenario.warm_up_s * 1000;
  const untilMs = SETTLE_MS + scenario.seconds * 1000;
  const tally = createTally();
  const hotKeys = createHotKeyCount();
  const broken: string[] = [];
  let runs = 0;
  const done = (sample: Sample): void => {
    if (!sample.isOwn) broken.push(`answer of another: ${sample.id}`);
    broken.push(...contradictionsOf(sample, servers));
    // What the end of the run cuts off has no fate of its own.
    const isOver = clock.now() > untilMs + LAST_MS;
    if (sample.startMs < warmUpMs || isOver) return;
    tally.note(sample);
    runs += servers.executions.get(sample.id)?.runs ?? 0;
  };
  const entries = createEntries(cell, rules, clock, random);
  let lastId = 0;
  const rateOf =
    ({load}: LevelledLoad) =>
    (): number => {
      const capacity =
        (scenario.servers * scenario.slots * 1000) /
        (load.service_ms ?? scenario.service_ms);
      return load.share * scale * capacity * factorAt(clock.now());
    };
  const factorAt = (ms: number): number =>
    scenario.phases.findLast(phase => SETTLE_MS + phase.at_s * 1000 <= ms)
      ?.factor ?? 1;
  for (const one of loads) {
    offer({
      load: one.load,
      rate: rateOf(one),
      untilMs,
      precedence: one.precedence,
      entries: entries.map(entry => req => {
        hotKeys.add(req.key, clock.now());
        return entry.handle(req);
      }),
      clock,
      random,
      nextId: () => `r${lastId++}`,
      done,
    });
  }
  startEvents({
    scenario,
    clock,
    random,
    servers,
    cell,
    drains,
    join,
    startMs: SETTLE_MS,
    untilMs,
  });
  const watch = startWatch({
    clock,
    cell,
    servers,
    shards: scenario.shards,
    keys: keysOf(loads),
    warmUpMs,
    untilMs,
    useful: tally.useful,
  });
  await clock.run(scenario.seconds * 1000);
  const found = hotKeysFound(hotKeys, cell, clock);
  await clock.run(LAST_MS);
  for (const [id, {runs, once}] of servers.executions) {
    if (once && runs > 1) broken.push(`ran ${runs} times: ${id}`);
  }
  await clock.run(1);
  const stopped = cell.stop();
  entries.forEach(entry => entry.close());
  await clock.run(60_000);
  await stopped;
  return {
    ...placementFigures(watch),
    offered: offeredOf(loads, scale),
    useful: tally.useful() / (scenario.seconds - scenario.warm_up_s),
    levels: tally.levels(),
    failures: tally.failures(),
    wasted: runs - tally.useful(),
    broken,
    hotKeysFound: found,
  };
}

interface LevelledLoad {
  readonly load: Load;
  readonly precedence: number;
}

function toLevel(
  load: Load,
  rules: Rules,
  policy: ExperimentPolicy,
): LevelledLoad {
  const index = rules.precedence.findIndex(({name}) => name === load.level);
  if (index < 0) throw new Error(`no level of precedence ${load.level}`);
  return {load, precedence: policy.precedence ? index : 0};
}

/** Says of a request what the servers' record says otherwise. */
function contradictionsOf(
  {id, failed}: Sample,
  servers: SimulatedServers,
): readonly string[] {
  const runs = servers.executions.get(id)?.runs ?? 0;
  if (failed === null && runs === 0) return [`answered and never run: ${id}`];
  if (failed?.verdict === 'not-run' && runs > 0)
    return [`ran after all: ${id}`];
  return [];
}

function createEntries(
  cell: ExperimentCell,
  rules: Rules,
  clock: Clock,
  random: Random,
) {
  const self: Incarnation = {
    host: 'router-1',
    address: '127.0.0.1:1',
    boot: 'a',
    dataCentre: 'naroda',
  };
  return Array.from({length: ENTRIES}, (_, entry) =>
    createEntry({
      self,
      topology: name => (name === SERVICE ? {shards: 1, cells: 1} : null),
      leaderOf: () => ({
        cell: CELL,
        epoch: cell.epoch(),
        leader: self,
        standby: null,
        unsettled: [],
      }),
      subscribe: () => () => {},
      localLeader: () => cell.queueOf(entry),
      send: () => Promise.reject(new Error('there is no other router')),
      rules: () => rules,
      clock,
      random,
    }),
  );
}

function hotKeysFound(
  counted: HotKeyCount,
  cell: ExperimentCell,
  clock: Clock,
): number | null {
  const found = new Set(cell.hotKeys().map(({key}) => key));
  if (found.size === 0) return null;
  return counted.hottest(clock.now()).filter(key => found.has(key)).length;
}

function placementFigures(watch: Watch) {
  const {imbalances, timeline} = watch;
  const sum = imbalances.reduce((total, value) => total + value, 0);
  return {
    imbalance: sum / Math.max(1, imbalances.length),
    worstImbalance: Math.max(1, ...imbalances),
    shardMoves: watch.shardMoves(),
    keyMoves: watch.keyMoves(),
    unavailable: watch.unavailableMs() / 1000,
    timeline,
  };
}

function offeredOf(loads: readonly LevelledLoad[], scale: number): number {
  return loads.reduce((sum, {load}) => sum + load.share, 0) * scale;
}

function keysOf(loads: readonly LevelledLoad[]): readonly string[] {
  const keys = new Set<string>();
  for (const {load} of loads) {
    for (let i = 0; i < load.keys; i++) keys.add(`key-${i}`);
  }
  return [...keys];
}

function toServer(name: string, slots: number): Server {
  return {
    name,
    service: SERVICE,
    place: 'naroda',
    address: `${name}:1`,
    slots,
    connections: 55,
  };
}

function readRules(user: string): Rules {
  const url = new URL(`../../../examples/${user}/rules.toml`, import.meta.url);
  const parsed = parseRules(readFileSync(fileURLToPath(url)));
  if (parsed.err) throw new Error(`the rules of ${user} don't parse`);
  return parsed.val;
}
