import {readFileSync} from 'node:fs';

/**
 * Why the test of this name is known to fail, from KNOWN-RED.txt at the root
 * (`name | cause | command | issue`, a line each); null where it isn't listed.
 * Such a test runs and tells its failure without failing the run, and must be
 * mended first.
 *
 * @example
 * ```ts
 * const todo = knownRed(t.name) ?? false;
 * t.ok(gap < 4_000, 'served again in time', {todo});
 * ```
 */
export function knownRed(name: string): string | null {
  const file = new URL('../../../KNOWN-RED.txt', import.meta.url);
  const lines = readFileSync(file, 'utf8').split('\n');
  const fields = lines.map(line => line.split(' | '));
  return fields.find(([test]) => test === name)?.[1] ?? null;
}
