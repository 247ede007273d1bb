import type {Failure} from '@banyandrum/base/failure.js';
import {failure} from '@banyandrum/base/failure.js';
import type {HeaderField} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';

/** What a caller asks for by headers; null where it doesn't. */
export interface Controls {
  readonly deadlineMs: number | null;
  readonly once: boolean;
  readonly caller: string | null;
  /** The caller's own id of the request, given back to it. */
  readonly correlation: string | null;
}

export const DEADLINE_HEADER = 'banyandrum-deadline-ms';
export const ONCE_HEADER = 'banyandrum-once';
export const CALLER_HEADER = 'banyandrum-caller';
export const CORRELATION_HEADER = 'x-request-id';

const DEADLINE = /^[1-9][0-9]{0,8}$/;
const ONCE = /^[01]$/;
const LABEL = /^[\x21-\x7e][\x20-\x7e]{0,127}$/;

interface MutableControls {
  deadlineMs: number | null;
  once: boolean;
  caller: string | null;
  correlation: string | null;
}

interface ControlHeader {
  readonly pattern: RegExp;
  readonly expected: string;
  /** Left out where malformed or repeated, instead of failing the request. */
  readonly lenient: boolean;
  readonly apply: (controls: MutableControls, value: string) => void;
}

const CONTROL_HEADERS: ReadonlyMap<string, ControlHeader> = new Map([
  [
    DEADLINE_HEADER,
    {
      pattern: DEADLINE,
      expected: 'a whole number of ms from 1 to 999999999',
      lenient: false,
      apply: (controls, value) => {
        controls.deadlineMs = Number(value);
      },
    },
  ],
  [
    ONCE_HEADER,
    {
      pattern: ONCE,
      expected: '0 or 1',
      lenient: false,
      apply: (controls, value) => {
        controls.once = value === '1';
      },
    },
  ],
  [
    CALLER_HEADER,
    {
      pattern: LABEL,
      expected: '1 to 128 printable ASCII characters',
      lenient: false,
      apply: (controls, value) => {
        controls.caller = value;
      },
    },
  ],
  [
    CORRELATION_HEADER,
    {
      pattern: LABEL,
      expected: '1 to 128 printable ASCII characters',
      lenient: true,
      apply: (controls, value) => {
        controls.correlation = value;
      },
    },
  ],
] satisfies readonly (readonly [string, ControlHeader])[]);

/**
 * Parses the headers that control how a request is handled. A malformed or
 * duplicate header fails the request as `bad-request`, since a wrong guess could
 * repeat a request that its caller marked as unsafe. Only an invalid correlation
 * id, which proxies set as well, is ignored.
 *
 * @example
 * ```ts
 * parseControls([{name: 'banyandrum-once', value: '1'}]);
 * // Ok({deadlineMs: null, once: true, caller: null, correlation: null})
 * ```
 */
export function parseControls(
  fields: readonly HeaderField[],
): Result<Controls, Failure> {
  const controls: MutableControls = {
    deadlineMs: null,
    once: false,
    caller: null,
    correlation: null,
  };
  let seen: Set<string> | null = null;
  for (const {name, value} of fields) {
    const header = CONTROL_HEADERS.get(name);
    if (header === undefined) continue;
    seen ??= new Set();
    const fault = findFault(name, value, header, seen);
    seen.add(name);
    if (fault === null) header.apply(controls, value);
    else if (!header.lenient) return reject(fault);
  }
  return Ok(controls);
}

function findFault(
  name: string,
  value: string,
  header: ControlHeader,
  seen: ReadonlySet<string>,
): string | null {
  if (seen.has(name)) return `the header ${name} is given twice`;
  if (header.pattern.test(value)) return null;
  return `the header ${name} must be ${header.expected}`;
}

function reject(detail: string): Result<Controls, Failure> {
  return Err(failure('not-run', 'bad-request', detail));
}
