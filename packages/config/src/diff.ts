import type {Inventory} from './inventory.js';
import type {Rules} from './rules.js';

/** What a publication holds, as far as a difference goes. */
export interface DiffSide {
  readonly inventory: Inventory;
  readonly rules: Rules;
}

export type ChangeKind = 'added' | 'removed' | 'changed';

/** One line of a difference. */
export interface Change {
  readonly kind: ChangeKind;
  /** `server holds-3`, `rules timing`. */
  readonly subject: string;
  /** What it is, or what changed: `slots 4 -> 6`. */
  readonly detail: string;
}

const MARKS: Readonly<Record<ChangeKind, string>> = {
  added: '+',
  removed: '-',
  changed: '~',
};

/**
 * What changes from one publication to the next, in the order of the file.
 *
 * @example
 * ```ts
 * diffPublications(before, after).map(formatChange);
 * // ['~ server holds-3: slots 4 -> 6']
 * ```
 */
export function diffPublications(
  before: DiffSide,
  after: DiffSide,
): readonly Change[] {
  const {inventory: old, rules: oldRules} = before;
  const {inventory, rules} = after;
  return [
    ...diffNamed('place', old.places, inventory.places),
    ...diffNamed('service', old.services, inventory.services),
    ...diffNamed('server', old.servers, inventory.servers),
    ...diffNamed('rules precedence', oldRules.precedence, rules.precedence),
    ...diffOrder('rules precedence', oldRules.precedence, rules.precedence),
    ...diffTexts(
      'rules operation',
      oldRules.operations.map(showFields),
      rules.operations.map(showFields),
    ),
    ...diffFields('rules placement', oldRules.weights, rules.weights),
    ...diffFields('rules limits', oldRules.limits, rules.limits),
    ...diffFields('rules timing', oldRules.timing, rules.timing),
  ];
}

/** One line for people. */
export function formatChange(change: Change): string {
  return `${MARKS[change.kind]} ${change.subject}: ${change.detail}`;
}

interface Named {
  readonly name: string;
}

function diffNamed(
  what: string,
  before: readonly Named[],
  after: readonly Named[],
): Change[] {
  const old = new Map(before.map(entry => [entry.name, entry]));
  const kept = new Set(after.map(entry => entry.name));
  const removed = before
    .filter(entry => !kept.has(entry.name))
    .map(entry => toChange('removed', what, entry));
  const others = after.flatMap(entry => {
    const previous = old.get(entry.name);
    if (previous === undefined) return [toChange('added', what, entry)];
    return diffFields(`${what} ${entry.name}`, previous, entry);
  });
  return [...removed, ...others];
}

function toChange(kind: ChangeKind, what: string, entry: Named): Change {
  const {name, ...fields} = entry;
  return {kind, subject: `${what} ${name}`, detail: showFields(fields)};
}

function diffOrder(
  subject: string,
  before: readonly Named[],
  after: readonly Named[],
): Change[] {
  const show = (entries: readonly Named[], others: readonly Named[]): string =>
    entries
      .filter(entry => others.some(other => other.name === entry.name))
      .map(entry => entry.name)
      .join(', ');
  const old = show(before, after);
  const now = show(after, before);
  if (old === now) return [];
  return [{kind: 'changed', subject, detail: `order ${old} -> ${now}`}];
}

// Operations have no names and their order counts: the first match applies.
function diffTexts(
  subject: string,
  before: readonly string[],
  after: readonly string[],
): Change[] {
  const gone = without(before, after);
  const come = without(after, before);
  const changes: Change[] = [
    ...gone.map(detail => ({kind: 'removed' as const, subject, detail})),
    ...come.map(detail => ({kind: 'added' as const, subject, detail})),
  ];
  const old = without(before, gone);
  const now = without(after, come);
  if (old.join('\n') === now.join('\n')) return changes;
  const detail = 'another order; the first match applies';
  return [...changes, {kind: 'changed', subject, detail}];
}

/** The texts of a list that the others don't make up for, one by one. */
function without(
  texts: readonly string[],
  others: readonly string[],
): readonly string[] {
  const left = [...others];
  return texts.filter(one => {
    const index = left.indexOf(one);
    if (index >= 0) left.splice(index, 1);
    return index < 0;
  });
}

function diffFields(subject: string, before: object, after: object): Change[] {
  const old = new Map<string, unknown>(Object.entries(before));
  const changes = Object.entries(after)
    .filter(([key, value]) => show(old.get(key)) !== show(value))
    .map(
      ([key, value]) =>
        `${toTomlKey(key)} ${show(old.get(key))} -> ${show(value)}`,
    );
  if (changes.length === 0) return [];
  return [{kind: 'changed', subject, detail: changes.join(', ')}];
}

function showFields(fields: object): string {
  return Object.entries(fields)
    .map(([key, value]) => `${toTomlKey(key)} ${show(value)}`)
    .join(', ');
}

/** The key as it is in the file: `dataCentre` is `data_centre` there. */
function toTomlKey(key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

function show(value: unknown): string {
  if (Array.isArray(value)) return value.length === 0 ? 'all' : value.join('|');
  return value === '' ? '""' : String(value);
}
