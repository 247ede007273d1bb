import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {POLICIES} from './experiment-policies.js';
import {plotsOf, type Run, tableOf} from './experiment-report.js';
import {runReal} from './experiment-real.js';
import {verdictsOf} from './experiment-required.js';
import {runScenario} from './experiment-run.js';
import {
  readScenario,
  type Scenario,
  scenarioNames,
} from './experiment-scenario.js';

/*
 * Runs scenarios of load against simulated servers in virtual time, each
 * under the chosen policies and their baselines.
 *
 *     npm run experiment                                all scenarios
 *     npm run experiment -- --scenario overload --seed 7
 *     npm run experiment -- --policy chosen --out plots
 */

/** Not a file: a short run of the real processes. */
const REAL = 'real-deployment';

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      scenario: {type: 'string', multiple: true},
      policy: {type: 'string', multiple: true},
      seed: {type: 'string', default: '1'},
      out: {type: 'string'},
    },
  });
  const out = values.out ?? mkdtempSync(join(tmpdir(), 'banyandrum-'));
  mkdirSync(out, {recursive: true});
  const seed = Number(values.seed);
  let failed = 0;
  for (const name of values.scenario ?? [...scenarioNames(), REAL]) {
    if (name === REAL) {
      failed += await checkReal();
      continue;
    }
    const scenario = readScenario(name);
    const wanted = values.policy ?? scenario.policies;
    const runs = await runAll(scenario, wanted, seed);
    failed += report(scenario, runs, out);
  }
  say(`plots are in ${out}`);
  if (failed > 0) process.exitCode = 1;
}

async function runAll(
  scenario: Scenario,
  policies: readonly string[],
  seed: number,
): Promise<readonly Run[]> {
  const runs: Run[] = [];
  for (const name of policies) {
    const policy = POLICIES.get(name);
    if (policy === undefined) throw new Error(`no policy ${name}`);
    for (const scale of scenario.scales) {
      const figures = await runScenario({scenario, policy, scale, seed});
      runs.push({policy: name, scale, figures});
    }
  }
  return runs;
}

/** Yields how many requirements were not met. */
function report(scenario: Scenario, runs: readonly Run[], out: string): number {
  say(`\n${scenario.name}: ${scenario.about}`);
  say(tableOf(runs));
  for (const [file, svg] of plotsOf(scenario.name, runs)) {
    writeFileSync(join(out, file), svg);
  }
  const verdicts = verdictsOf(scenario, runs);
  for (const {what, met} of verdicts)
    say(`${met ? 'met' : 'NOT MET'}: ${what}`);
  return verdicts.filter(({met}) => !met).length;
}

async function checkReal(): Promise<number> {
  say(`\n${REAL}: routers and stand-ins as processes, each answer checked.`);
  const {asked, answered, broken, shardMoves} = await runReal();
  say(`asked ${asked}, answered ${answered}, shards moved ${shardMoves}`);
  const met = broken === 0 && answered > 0;
  say(
    `${met ? 'met' : 'NOT MET'}: answers whole and their own, ${broken} aren't`,
  );
  return met ? 0 : 1;
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
