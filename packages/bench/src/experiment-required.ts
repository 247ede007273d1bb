import type {Run} from './experiment-report.js';
import type {Scenario} from './experiment-scenario.js';

/** One requirement on the chosen policies, and whether it was met. */
export interface Verdict {
  readonly what: string;
  readonly met: boolean;
}

/**
 * Holds the runs of the chosen policies against what the scenario requires;
 * answers must be whole and their own under every policy.
 *
 * @example
 * ```ts
 * const failed = verdictsOf(scenario, runs).filter(({met}) => !met);
 * ```
 */
export function verdictsOf(
  {required}: Scenario,
  runs: readonly Run[],
): readonly Verdict[] {
  const chosen = runs.filter(({policy}) => policy === 'chosen');
  const broken = runs.reduce((n, {figures}) => n + figures.broken.length, 0);
  const verdicts = [
    {what: `answers whole and their own, ${broken} aren't`, met: broken === 0},
  ];
  if (required.useful_of_peak !== undefined) {
    verdicts.push(usefulOfPeak(chosen, required.useful_of_peak));
  }
  for (const [level, least] of Object.entries(required.served)) {
    verdicts.push(served(chosen, level, least));
  }
  if (required.most_moves !== undefined) {
    const most = Math.max(...chosen.map(({figures}) => figures.shardMoves));
    const what = `shards moved: ${most}, at most ${required.most_moves}`;
    verdicts.push({what, met: most <= required.most_moves});
  }
  if (required.hot_keys_found !== undefined) {
    const found = chosen.map(({figures}) => figures.hotKeysFound ?? 0);
    const least = Math.min(...found);
    const what = `hottest keys found: ${least} of ${required.hot_keys_found}`;
    verdicts.push({what, met: least >= required.hot_keys_found});
  }
  return verdicts;
}

/** At the greatest load, by the peak over all loads. */
function usefulOfPeak(runs: readonly Run[], least: number): Verdict {
  const rates = runs.map(({figures}) => figures.useful);
  const share = (rates.at(-1) ?? 0) / Math.max(...rates);
  const load = `${runs.at(-1)?.figures.offered.toFixed(2)}x`;
  const what =
    `useful throughput at ${load}: ${percent(share)} of its peak, ` +
    `at least ${percent(least)}`;
  return {what, met: share >= least};
}

function served(runs: readonly Run[], level: string, least: number): Verdict {
  const shares = runs.map(
    ({figures}) => figures.levels.get(level)?.served ?? 0,
  );
  const share = Math.min(...shares);
  const what =
    `${level} served in time: ${percent(share)}, ` +
    `at least ${percent(least)}`;
  return {what, met: share >= least};
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}
