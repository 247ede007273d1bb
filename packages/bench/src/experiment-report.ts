import type {Figures} from './experiment-figures.js';
import {plot} from './plot.js';

/** One run of a scenario and what it came to. */
export interface Run {
  readonly policy: string;
  readonly scale: number;
  readonly figures: Figures;
}

/**
 * The figures of all runs as a table in text.
 *
 * @example
 * ```ts
 * process.stdout.write(tableOf(runs));
 * ```
 */
export function tableOf(runs: readonly Run[]): string {
  const levels = [...new Set(runs.flatMap(levelNames))];
  const head = [
    'policy',
    'load',
    'useful/s',
    ...levels.flatMap(name => [`${name} served`, 'p50', 'p99 ms']),
    'imbalance',
    'worst',
    'shards moved',
    'keys',
    'unavail. s',
    'wasted runs',
  ];
  const rows = runs.map(({policy, figures}) => [
    policy,
    `${figures.offered.toFixed(2)}x`,
    figures.useful.toFixed(0),
    ...levels.flatMap(name => levelCells(figures, name)),
    figures.imbalance.toFixed(2),
    figures.worstImbalance.toFixed(2),
    String(figures.shardMoves),
    String(figures.keyMoves),
    figures.unavailable.toFixed(1),
    String(figures.wasted),
  ]);
  const failures = runs.flatMap(run => failureLine(run));
  return [align([head, ...rows]), ...failures, ''].join('\n');
}

/** Plots of the runs, by file name. */
export function plotsOf(
  name: string,
  runs: readonly Run[],
): ReadonlyMap<string, string> {
  const policies = [...new Set(runs.map(({policy}) => policy))];
  const plots = new Map<string, string>();
  const isSweep = new Set(runs.map(({scale}) => scale)).size > 1;
  if (isSweep) {
    plots.set(
      `${name}-throughput.svg`,
      plot({
        title: `${name}: useful throughput`,
        x: 'offered load, times the capacity',
        y: 'useful answers a second',
        lines: policies.map(policy => ({
          name: policy,
          points: runs
            .filter(run => run.policy === policy)
            .map(({figures}) => [figures.offered, figures.useful] as const),
        })),
      }),
    );
  }
  const last = policies.map(policy => lastOf(runs, policy));
  for (const [measure, y] of MEASURES) {
    plots.set(
      `${name}-${measure}.svg`,
      plot({
        title: `${name}: ${y}`,
        x: 'time in s',
        y,
        lines: last.map(({policy, figures}) => ({
          name: policy,
          points: figures.timeline.map(
            moment => [moment.second, moment[measure]] as const,
          ),
        })),
      }),
    );
  }
  return plots;
}

const MEASURES = [
  ['useful', 'useful answers a second'],
  ['imbalance', 'busiest server, times the mean'],
  ['shardMoves', 'shards moved in each second'],
] as const;

function lastOf(runs: readonly Run[], policy: string): Run {
  return runs.findLast(run => run.policy === policy)!;
}

function levelNames({figures}: Run): readonly string[] {
  return [...figures.levels.keys()];
}

function levelCells(figures: Figures, name: string): readonly string[] {
  const level = figures.levels.get(name);
  if (level === undefined) return ['-', '-', '-'];
  const {served, p50, p99} = level;
  return [`${(served * 100).toFixed(1)}%`, p50.toFixed(0), p99.toFixed(0)];
}

function failureLine({policy, figures}: Run): readonly string[] {
  const kinds = [...figures.failures].map(([kind, n]) => `${kind} ${n}`);
  const line = kinds.length > 0 ? kinds.join(', ') : 'none';
  const load = `${figures.offered.toFixed(2)}x`;
  const broken = figures.broken.slice(0, 3).map(what => `  BROKEN: ${what}`);
  return [`  ${policy} ${load}: failures: ${line}`, ...broken];
}

function align(rows: readonly (readonly string[])[]): string {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map(row => row[column]!.length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, i) =>
          i === 0 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!),
        )
        .join('  '),
    )
    .join('\n');
}
