import {Err, Ok} from '@banyandrum/base/result.js';
import type {Result} from '@banyandrum/base/result.js';
import {TomlError, parse} from 'smol-toml';
import type {z} from 'zod';
import {locateProblems} from './locate.js';
import type {Problem} from './problem.js';
import {describeValue, formatPath} from './problem.js';

export const MAX_FILE_BYTES = 512 * 1024;

const MAX_PROBLEMS = 50;
const MAX_DEPTH = 16;

/** A TOML text, read but not checked. */
export interface TomlText {
  readonly text: string;
  readonly table: Readonly<Record<string, unknown>>;
}

/**
 * Reads a TOML text; never throws.
 *
 * @example
 * ```ts
 * const read = readToml(await readFile('settings.toml'));
 * if (read.err) for (const problem of read.val) report(problem);
 * ```
 */
export function readToml(
  input: string | Uint8Array,
): Result<TomlText, readonly Problem[]> {
  const text = decodeText(input);
  if (text.err) return Err([text.val]);
  const table = parseTable(text.val);
  if (table.err) return Err([table.val]);
  return Ok({text: text.val, table: table.val});
}

/**
 * Checks a table against a schema, whose messages say what was expected.
 *
 * @example
 * ```ts
 * const checked = checkTable(table, z.strictObject({slots: z.number()}));
 * ```
 */
export function checkTable<T>(
  table: Readonly<Record<string, unknown>>,
  schema: z.ZodType<T>,
): Result<T, readonly Problem[]> {
  const checked = schema.safeParse(table);
  if (checked.success) return Ok(checked.data);
  return Err(toProblems(checked.error, table));
}

/** The problems with their lines, and no more than a person would read. */
export function reportProblems(
  text: string,
  problems: readonly Problem[],
): readonly Problem[] {
  const located = locateProblems(text, problems.slice(0, MAX_PROBLEMS));
  const rest = problems.length - located.length;
  if (rest === 0) return located;
  return [
    ...located,
    {place: 'the file', expected: 'no more', found: `${rest} more problems`},
  ];
}

function decodeText(input: string | Uint8Array): Result<string, Problem> {
  const size =
    typeof input === 'string' ? Buffer.byteLength(input) : input.byteLength;
  if (size > MAX_FILE_BYTES) {
    return Err({
      place: 'the file',
      expected: `at most ${MAX_FILE_BYTES} bytes`,
      found: `${size} bytes`,
    });
  }
  if (typeof input === 'string') return Ok(input);
  try {
    return Ok(new TextDecoder('utf-8', {fatal: true}).decode(input));
  } catch {
    const expected = 'TOML text in UTF-8';
    return Err({place: 'the file', expected, found: 'other bytes'});
  }
}

function parseTable(text: string): Result<TomlText['table'], Problem> {
  try {
    return Ok(parse(text, {maxDepth: MAX_DEPTH}));
  } catch (err) {
    return Err(toTomlProblem(err));
  }
}

function toTomlProblem(err: unknown): Problem {
  const expected = 'TOML text';
  if (!(err instanceof TomlError)) {
    return {place: 'the file', expected, found: firstLine(String(err))};
  }
  const place = `line ${err.line}, column ${err.column}`;
  return {place, expected, found: firstLine(err.message)};
}

function firstLine(text: string): string {
  const line = text.split('\n', 1)[0] ?? '';
  return line.replace(/^Invalid TOML document: /, '');
}

function toProblems(error: z.ZodError, root: unknown): Problem[] {
  return error.issues.flatMap(issue => {
    if (issue.code !== 'unrecognized_keys') return [toProblem(issue, root)];
    return issue.keys.map(key => ({
      place: formatPath([...issue.path, key]),
      expected: issue.message,
      found: 'an unknown key',
    }));
  });
}

function toProblem(issue: z.core.$ZodIssue, root: unknown): Problem {
  return {
    place: formatPath(issue.path),
    expected: issue.message,
    found: describeValue(valueAt(root, issue.path)),
  };
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    if (!Object.hasOwn(value, step)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}
