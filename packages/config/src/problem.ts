/** What is wrong at one place of a file that people wrote. */
export interface Problem {
  /** Which of several files; absent where there is only one. */
  readonly file?: string;
  /** `servers[3].slots`, or `line 4, column 7` where the text is no TOML. */
  readonly place: string;
  /** The line that it is on, from 1, where that is known. */
  readonly line?: number;
  readonly expected: string;
  readonly found: string;
}

const MAX_FOUND_LENGTH = 60;

/**
 * One line for people.
 *
 * @example
 * ```ts
 * formatProblem({place: 'servers[3].slots', expected: 'a number', found: '"2"'});
 * // servers[3].slots: expected a number, found "2"
 * ```
 */
export function formatProblem(problem: Problem): string {
  const {expected, found} = problem;
  const file = problem.file === undefined ? '' : `${problem.file}: `;
  const line = problem.line === undefined ? '' : ` (line ${problem.line})`;
  return `${file}${problem.place}${line}: expected ${expected}, found ${found}`;
}

/** The same problems, each naming the file that it is in. */
export function inFile(
  file: string,
  problems: readonly Problem[],
): readonly Problem[] {
  return problems.map(problem => ({...problem, file}));
}

/** A value as it is shown to people: short, and on one line. */
export function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (value instanceof Date) return 'a date';
  if (typeof value === 'object' && value !== null) return 'a table';
  if (typeof value !== 'string') return String(value);
  return clip(JSON.stringify(value));
}

function clip(text: string): string {
  if (text.length <= MAX_FOUND_LENGTH) return text;
  return `${text.slice(0, MAX_FOUND_LENGTH)}...`;
}

/** Path of a value in a file: `['servers', 3]` is `servers[3]`. */
export function formatPath(path: readonly PropertyKey[]): string {
  const text = path.map(formatStep).join('').replace(/^\./, '');
  return text === '' ? 'the file' : text;
}

function formatStep(step: PropertyKey): string {
  if (typeof step === 'number') return `[${step}]`;
  return `.${String(step)}`;
}
