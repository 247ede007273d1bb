import type {SpreadCounts} from './spread.js';

/** Type, service, kind, samples, work in ms, recent requests. */
export type KindRow = readonly ['k', string, number, number, number, number];
/**
 * Type, server, service, samples, slowness, samples of the slowdown, usual
 * slowdown.
 */
export type ServerRow = readonly [
  ...['v', string, string, number, number, number, number],
];
/** Type, service, samples, work in ms, usual slowdown and its samples, spread. */
export type ServiceRow = readonly [
  ...['s', string, number, number, number, number, SpreadCounts],
];

/** What a time model has learnt of a kind, a server or a service, for the wire. */
export type TimeRow = KindRow | ServerRow | ServiceRow;

/** Rounds to a multiple of `1 / stepsPerUnit`. */
export function roundTo(value: number, stepsPerUnit: number): number {
  return Math.round(value * stepsPerUnit) / stepsPerUnit;
}
