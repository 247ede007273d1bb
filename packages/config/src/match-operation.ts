import type {Operation, Rules} from './rules.js';
import {DEFAULT_DEADLINE_MS, ONCE_METHODS} from './default-rules.js';

/** What the rules say about a request. */
export interface MatchedOperation {
  /** Index into the levels of the rules; 0 goes first. */
  readonly precedence: number;
  readonly once: boolean;
  /** Deadline where the caller names none, in ms. */
  readonly deadlineMs: number;
}

interface Candidate extends MatchedOperation {
  readonly pathPrefix: string;
}

/** Candidates in the order of the file, ready for one service. */
interface ServiceMatcher {
  readonly byMethod: ReadonlyMap<string, readonly Candidate[]>;
  /** For methods that no operation names. */
  readonly others: readonly Candidate[];
}

type RulesMatcher = ReadonlyMap<string, ServiceMatcher>;

const matchers = new WeakMap<Rules, RulesMatcher>();

/**
 * The first operation of the rules that fits a request, or the defaults:
 * the lowest level, and once for `POST` and `PATCH`.
 *
 * The path is what follows the key, with its query, as on the wire. Prefixes
 * are compared with the path decoded and its dots and doubled slashes
 * resolved: `/%68old` would else slip past a rule for `/hold`.
 *
 * @example
 * ```ts
 * const {once, precedence} = matchOperation(rules, 'holds', 'POST', '/beds');
 * ```
 */
export function matchOperation(
  rules: Rules,
  service: string,
  method: string,
  path: string,
): MatchedOperation {
  const matcher = matcherOf(rules).get(service);
  const name = method.toUpperCase();
  if (matcher === undefined) return defaultsOf(rules, name);
  const candidates = matcher.byMethod.get(name) ?? matcher.others;
  const plain = normalizePath(path);
  for (const candidate of candidates) {
    if (plain.startsWith(candidate.pathPrefix)) return candidate;
  }
  return defaultsOf(rules, name);
}

function matcherOf(rules: Rules): RulesMatcher {
  const known = matchers.get(rules);
  if (known !== undefined) return known;
  const services = new Set(rules.operations.map(({service}) => service));
  const matcher = new Map(
    [...services].map(service => [service, compile(rules, service)]),
  );
  matchers.set(rules, matcher);
  return matcher;
}

function compile(rules: Rules, service: string): ServiceMatcher {
  const own = rules.operations.filter(entry => entry.service === service);
  const methods = new Set(own.flatMap(entry => entry.methods));
  const toCandidate = (operation: Operation): Candidate => ({
    pathPrefix: operation.pathPrefix,
    precedence: levelIndex(rules, operation.precedence),
    once: operation.once,
    deadlineMs: operation.deadlineMs,
  });
  const forMethod = (method: string): readonly Candidate[] =>
    own
      .filter(({methods}) => methods.length === 0 || methods.includes(method))
      .map(toCandidate);
  return {
    byMethod: new Map([...methods].map(name => [name, forMethod(name)])),
    others: own.filter(({methods}) => methods.length === 0).map(toCandidate),
  };
}

function levelIndex(rules: Rules, name: string): number {
  const index = rules.precedence.findIndex(level => level.name === name);
  return index < 0 ? Math.max(0, rules.precedence.length - 1) : index;
}

function defaultsOf(rules: Rules, method: string): MatchedOperation {
  return {
    precedence: Math.max(0, rules.precedence.length - 1),
    once: ONCE_METHODS.includes(method),
    deadlineMs: Math.min(DEFAULT_DEADLINE_MS, rules.limits.maxDeadlineMs),
  };
}

function normalizePath(path: string): string {
  const end = path.search(/[?#]/);
  const bare = end < 0 ? path : path.slice(0, end);
  if (!/%|\/\/|\/\./.test(bare)) return bare;
  return resolveDots(decode(bare));
}

function decode(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}

function resolveDots(path: string): string {
  const kept: string[] = [];
  for (const part of path.split('/')) {
    if (part === '..') kept.pop();
    else if (part !== '.' && part !== '') kept.push(part);
  }
  const joined = kept.length > 0 ? `/${kept.join('/')}` : '';
  return path.endsWith('/') ? `${joined}/` : joined;
}
