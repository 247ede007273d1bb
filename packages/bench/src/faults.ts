import {parseArgs} from 'node:util';
import {
  countMoves,
  countViolations,
  findViolations,
  readRecords,
  type ServerRecords,
  type Violations,
} from './checker.js';
import {
  startDeployment,
  type Deployment,
  type DeploymentSpec,
} from './deployment.js';
import {FAULTS, type Fault} from './fault-table.js';
import {startProbeLoad, type Sample} from './probe-load.js';
import {percentile} from './stats.js';
import {specOf} from './specs.js';

/*
 * Brings each fault of the table about, many times, in a deployment of
 * separate processes under load, and prints for how long keys were
 * unavailable, how many shards moved, and every broken promise.
 *
 *     npm run bench:faults -- --runs 20 --only "leader lost"
 */

const ROUTERS = 6;
const KEYS = 32;
const PAUSE_MS = 40;
const DEADLINE_MS = 6_000;
const BEFORE_MS = 700;
const AFTER_MS = 2_500;
const SETTLE_MS = 30_000;
/** A key counts as affected where two answers are further apart. */
const AFFECTED_MS = 250;

interface Outcome {
  /** Longest time without an answer, for each affected key, in ms. */
  readonly gaps: readonly number[];
  readonly keys: number;
  /** Shards that changed their owner while the fault lasted. */
  readonly moves: number;
  /** Shards that did so after it was put right. */
  readonly movesAfter: number;
  readonly failures: readonly Sample[];
  readonly violations: Violations;
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      runs: {type: 'string', default: '20'},
      only: {type: 'string', default: ''},
      log: {type: 'boolean', default: false},
    },
  });
  const faults = FAULTS.filter(({name}) => name.includes(values.only));
  let broken = 0;
  for (const fault of faults) {
    broken += await runFault(fault, Number(values.runs), values.log);
  }
  say(broken === 0 ? 'no promise was broken' : `${broken} promises broken`);
  process.exitCode = broken === 0 ? 0 : 1;
}

async function runFault(
  fault: Fault,
  runs: number,
  isLogged: boolean,
): Promise<number> {
  const deployment = await startDeployment(benchSpec(isLogged));
  const outcomes: Outcome[] = [];
  try {
    await deployment.publish();
    await deployment.settled(SETTLE_MS);
    for (let turn = 0; turn < runs; turn++) {
      outcomes.push(await runOnce(deployment, fault, turn));
      await deployment.settled(SETTLE_MS);
    }
  } catch (err) {
    say(`${fault.name}: ended after ${outcomes.length} runs: ${err}`);
  } finally {
    await deployment.stop();
  }
  return report(fault, outcomes);
}

async function runOnce(
  deployment: Deployment,
  fault: Fault,
  turn: number,
): Promise<Outcome> {
  const service = turn % 2 === 0 ? 'holds' : 'vacancy';
  const keys = Array.from({length: KEYS}, (_, i) => `${service}/ward-${i}`);
  const avoided = new Set<string>();
  const entries = (): readonly string[] =>
    [...deployment.routers.values()]
      .filter(({host}) => !avoided.has(host))
      .map(({callers}) => callers);
  const before = await readRecords(deployment.servers);
  const load = startProbeLoad({
    targets: keys,
    entries,
    pauseMs: PAUSE_MS,
    deadlineMs: DEADLINE_MS,
  });
  await pause(BEFORE_MS);
  const cell = `${service}/0`;
  const undo = await fault.begin({deployment, cell, turn, avoided});
  await pause(fault.lastsMs);
  const during = await readRecords(deployment.servers);
  await undo();
  await pause(AFTER_MS);
  await load.stop();
  const after = await readRecords(deployment.servers);
  return {
    gaps: keys
      .map(key => longestGap(load.samples, key))
      .filter(gap => gap > AFFECTED_MS),
    keys: keys.length,
    moves: countMoves(during.beliefs, lastChange(before)),
    movesAfter: countMoves(after.beliefs, lastChange(during)),
    failures: load.samples.filter(({status}) => status < 200 || status > 299),
    violations: findViolations(after, load.samples),
  };
}

/** Just after the last change of what a server believed to own, in ms. */
function lastChange({beliefs}: ServerRecords): number {
  return Math.max(...beliefs.map(({fromMs}) => fromMs)) + 1;
}

/** The longest time between two answers for a key, less the usual pause. */
function longestGap(samples: readonly Sample[], key: string): number {
  const answered = samples
    .filter(({target, status}) => target === key && status < 300 && status > 0)
    .map(({endMs}) => endMs);
  let longest = 0;
  for (let i = 1; i < answered.length; i++) {
    longest = Math.max(longest, answered[i]! - answered[i - 1]! - PAUSE_MS);
  }
  return longest;
}

function report(fault: Fault, outcomes: readonly Outcome[]): number {
  const gaps = outcomes.flatMap(outcome => outcome.gaps);
  const keys = outcomes.reduce((sum, outcome) => sum + outcome.keys, 0);
  const moves = outcomes.map(outcome => outcome.moves);
  const after = outcomes.map(outcome => outcome.movesAfter);
  const failures = outcomes.flatMap(outcome => outcome.failures);
  const broken = outcomes.reduce(
    (sum, {violations}) => sum + countViolations(violations),
    0,
  );
  const ms = (share: number): number => Math.round(percentile(gaps, share));
  say(
    `${fault.name} (${fault.kind}, ${outcomes.length} runs): ` +
      `affected keys ${gaps.length} of ${keys}, unavailable p50 ${ms(0.5)} ` +
      `p90 ${ms(0.9)} p99 ${ms(0.99)} max ${ms(1)} ms, shards moved p50 ` +
      `${percentile(moves, 0.5)} max ${percentile(moves, 1)}, afterwards p50 ` +
      `${percentile(after, 0.5)} max ${percentile(after, 1)}, ` +
      `failures ${describeFailures(failures)}, broken promises ${broken}`,
  );
  for (const {violations} of outcomes) {
    for (const [kind, list] of Object.entries(violations)) {
      const found = list as readonly string[];
      if (found.length > 0) say(`  ${kind}: ${found.slice(0, 5).join('; ')}`);
    }
  }
  return broken;
}

function describeFailures(failures: readonly Sample[]): string {
  const counts = new Map<string, number>();
  for (const {verdict, code} of failures) {
    const kind = `${verdict}/${code}`;
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  const parts = [...counts].map(([kind, count]) => `${count} ${kind}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

function benchSpec(isLogged: boolean): DeploymentSpec {
  const board = specOf('board', ROUTERS);
  const services = board.services.map(service => ({
    ...service,
    checksFences: service.name === 'holds',
  }));
  const onLog = (host: string, line: string): void => say(`${host} ${line}`);
  const logged = isLogged ? {onLog, logLevel: 'info' as const} : {};
  return {...board, services, relays: true, ...logged};
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
