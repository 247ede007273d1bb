import type {Problem} from './problem.js';

const KEY = '(?:[A-Za-z0-9_-]+|"[^"]*"|\'[^\']*\')';
const KEYS = `${KEY}(?:\\s*\\.\\s*${KEY})*`;
const LIST_HEADER = new RegExp(`^\\s*\\[\\[\\s*(${KEYS})\\s*\\]\\]`);
const TABLE_HEADER = new RegExp(`^\\s*\\[\\s*(${KEYS})\\s*\\]`);
const ASSIGNMENT = new RegExp(`^\\s*(${KEYS})\\s*=`);
const KEY_OF_KEYS = new RegExp(KEY, 'g');
const MULTILINE_QUOTE = /"""|'''/g;

/**
 * The problems with the line that each is on, where it can be found: that of
 * the key, else that of the table it belongs in. The TOML library tells no
 * lines of values.
 *
 * @example
 * ```ts
 * locateProblems('a = 1\nb = 2', [{place: 'b', expected, found}]); // line: 2
 * ```
 */
export function locateProblems(
  text: string,
  problems: readonly Problem[],
): readonly Problem[] {
  if (problems.length === 0) return problems;
  const lines = indexLines(text);
  return problems.map(problem => {
    const line = findLine(lines, problem.place);
    return line === undefined ? problem : {...problem, line};
  });
}

function findLine(
  lines: ReadonlyMap<string, number>,
  place: string,
): number | undefined {
  for (let path = place; path !== ''; path = parentOf(path)) {
    const line = lines.get(path);
    if (line !== undefined) return line;
  }
  return undefined;
}

function parentOf(path: string): string {
  return path.slice(0, Math.max(0, path.search(/(\.[^.[\]]*|\[\d+\])$/)));
}

/** Lines, from 1, of the tables and keys of a text, by their paths. */
function indexLines(text: string): ReadonlyMap<string, number> {
  const lines = new Map<string, number>();
  const counts = new Map<string, number>();
  let table = '';
  let isInText = false;
  const note = (path: string, index: number): void => {
    if (!lines.has(path)) lines.set(path, index + 1);
  };
  text.split('\n').forEach((line, index) => {
    const wasInText = isInText;
    if ((line.match(MULTILINE_QUOTE)?.length ?? 0) % 2 === 1) {
      isInText = !isInText;
    }
    if (wasInText) return;
    const listKeys = LIST_HEADER.exec(line)?.[1];
    const tableKeys = TABLE_HEADER.exec(line)?.[1];
    const assigned = ASSIGNMENT.exec(line)?.[1];
    if (listKeys !== undefined) {
      table = nextEntry(listKeys, counts);
      note(table, index);
    } else if (tableKeys !== undefined) {
      table = resolve(splitKeys(tableKeys), counts);
      note(table, index);
    } else if (assigned !== undefined) {
      note(join(table, splitKeys(assigned).join('.')), index);
    }
  });
  return lines;
}

function nextEntry(keys: string, counts: Map<string, number>): string {
  const steps = splitKeys(keys);
  const parent = resolve(steps.slice(0, -1), counts);
  const path = join(parent, steps.at(-1) ?? '');
  const count = counts.get(path) ?? 0;
  counts.set(path, count + 1);
  return `${path}[${count}]`;
}

/** A header's path; within a list it means the list's last entry. */
function resolve(
  steps: readonly string[],
  counts: ReadonlyMap<string, number>,
): string {
  return steps.reduce((parent, step) => {
    const path = join(parent, step);
    const count = counts.get(path);
    return count === undefined ? path : `${path}[${count - 1}]`;
  }, '');
}

function join(parent: string, key: string): string {
  return parent === '' ? key : `${parent}.${key}`;
}

function splitKeys(keys: string): readonly string[] {
  const parts = keys.match(KEY_OF_KEYS) ?? [];
  return parts.map(part => part.replace(/^["']|["']$/g, ''));
}
