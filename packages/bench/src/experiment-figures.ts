import {createHistogram, type Histogram} from './experiment-histogram.js';
import type {Sample} from './experiment-load.js';

/** What one level of precedence came to. */
export interface LevelFigures {
  readonly asked: number;
  /** Share answered by the deadline, of those whose fate is known. */
  readonly served: number;
  /** Time to a useful answer, in ms. */
  readonly p50: number;
  readonly p99: number;
}

/** What one run came to. */
export interface Figures {
  /** Load offered, times the servers' nominal capacity. */
  readonly offered: number;
  /** Useful answers a second. */
  readonly useful: number;
  readonly levels: ReadonlyMap<string, LevelFigures>;
  /** Refusals and failures, by verdict and code. */
  readonly failures: ReadonlyMap<string, number>;
  /** Busiest server by the mean, over periods of 10 s; mean and greatest. */
  readonly imbalance: number;
  readonly worstImbalance: number;
  readonly shardMoves: number;
  readonly keyMoves: number;
  /** Time that shards could not be served, summed, in shard-seconds. */
  readonly unavailable: number;
  /** Executions beyond the useful answers. */
  readonly wasted: number;
  readonly broken: readonly string[];
  /** Of the hottest keys, how many the leader found; null if not asked. */
  readonly hotKeysFound: number | null;
  readonly timeline: readonly Moment[];
}

/** One second of a run. */
export interface Moment {
  readonly second: number;
  readonly useful: number;
  readonly imbalance: number;
  readonly shardMoves: number;
}

/** Counts samples as they come. */
export interface Tally {
  note(sample: Sample): void;
  useful(): number;
  failures(): ReadonlyMap<string, number>;
  levels(): ReadonlyMap<string, LevelFigures>;
}

interface LevelTally {
  asked: number;
  useful: number;
  readonly ms: Histogram;
}

/**
 * Makes the count of one run's samples; it keeps no sample.
 *
 * @example
 * ```ts
 * tally.note(sample);
 * tally.levels().get('holds')?.p99;
 * ```
 */
export function createTally(): Tally {
  const levels = new Map<string, LevelTally>();
  const failures = new Map<string, number>();
  let useful = 0;

  const levelOf = (name: string): LevelTally => {
    const known = levels.get(name);
    if (known !== undefined) return known;
    const tally = {asked: 0, useful: 0, ms: createHistogram()};
    levels.set(name, tally);
    return tally;
  };

  return {
    note(sample) {
      const level = levelOf(sample.level);
      level.asked++;
      if (sample.failed !== null) {
        const {verdict, code} = sample.failed;
        const kind = `${verdict} ${code}`;
        failures.set(kind, (failures.get(kind) ?? 0) + 1);
        return;
      }
      const ms = sample.endMs - sample.startMs;
      if (ms > sample.deadlineMs) return;
      useful++;
      level.useful++;
      level.ms.add(ms);
    },
    useful: () => useful,
    failures: () => new Map([...failures].sort()),
    levels: () =>
      new Map(
        [...levels].map(([name, level]) => [
          name,
          {
            asked: level.asked,
            served: level.useful / Math.max(1, level.asked),
            p50: level.ms.at(0.5),
            p99: level.ms.at(0.99),
          },
        ]),
      ),
  };
}
