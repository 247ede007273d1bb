import tap from 'tap';
import {POLICIES} from '@banyandrum/bench/experiment-policies.js';
import {verdictsOf} from '@banyandrum/bench/experiment-required.js';
import {runScenario} from '@banyandrum/bench/experiment-run.js';
import type {Figures} from '@banyandrum/bench/experiment-figures.js';
import {
  readScenario,
  type Scenario,
  scenarioNames,
} from '@banyandrum/bench/experiment-scenario.js';

const CHOSEN = POLICIES.get('chosen')!;

function run(scenario: Scenario, policy = CHOSEN, seed = 1): Promise<Figures> {
  return runScenario({scenario, policy, scale: 3, seed});
}

void tap.test('every scenario reads, with known levels and policies', t => {
  for (const name of scenarioNames()) {
    const {policies} = readScenario(name);
    t.ok(
      policies.every(policy => POLICIES.has(policy)),
      name,
    );
    t.equal(policies[0], 'chosen', `${name}: baselines come second`);
  }
  t.end();
});

void tap.test('a seed yields the same figures; checks find faults', async t => {
  const sizes = {servers: 2, seconds: 6, warm_up_s: 2};
  const scenario = {...readScenario('overload'), ...sizes};
  const [first, again, other] = [
    await run(scenario),
    await run(scenario),
    await run(scenario, CHOSEN, 2),
  ];
  t.same(again, first);
  t.not(other.useful, first.useful);
  t.same(first.broken, []);
  t.ok(first.useful > 140, `useful answers a second: ${first.useful}`);

  const of = (figures: Figures) => [{policy: 'chosen', scale: 3, figures}];
  const unmet = (figures: Figures): readonly string[] =>
    verdictsOf(scenario, of(figures))
      .filter(({met}) => !met)
      .map(({what}) => what);
  t.same(unmet(first), []);
  t.equal(unmet({...first, broken: ['ran 2 times: r1']}).length, 1);
  t.equal(unmet({...first, levels: new Map()}).length, 1);
});
