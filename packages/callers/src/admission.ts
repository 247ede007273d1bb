import type {IncomingMessage} from 'node:http';
import type {Failure} from '@banyandrum/base/failure.js';
import {failure} from '@banyandrum/base/failure.js';
import type {HeaderField} from '@banyandrum/base/request.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {declaredLength} from './body.js';
import type {Controls} from './controls.js';
import {parseControls} from './controls.js';
import type {PolicyLookup, RequestPolicy} from './policy.js';
import type {Target} from './target.js';
import {parseTarget} from './target.js';

/** A request whose headers are in order. */
export interface Admitted {
  readonly target: Target;
  readonly controls: Controls;
  readonly fields: readonly HeaderField[];
  readonly policy: RequestPolicy;
  /** Monotonic time by which the answer is due, in ms. */
  readonly deadline: number;
}

/** Decides from the headers alone whether a request goes on. */
export function admit(
  policyOf: PolicyLookup,
  req: IncomingMessage,
  fields: readonly HeaderField[],
  arrivedAt: number,
): Result<Admitted, Failure> {
  const hostFault = findHostFault(req, fields);
  if (hostFault !== null) return Err(badRequest(hostFault));
  const target = parseTarget(req.url ?? '');
  if (target.err) return target;
  const controls = parseControls(fields);
  if (controls.err) return controls;
  const {service, path} = target.val;
  const policy = policyOf(service, req.method ?? '', path);
  if (!policy.known) {
    const detail = `no service is named ${service}`;
    return Err(failure('not-run', 'unknown-service', detail));
  }
  const length = declaredLength(req);
  if (length !== null && length > policy.maxBodyBytes) {
    const detail = `the body is larger than ${policy.maxBodyBytes} bytes`;
    return Err(failure('not-run', 'too-large', detail));
  }
  const deadlineMs = controls.val.deadlineMs ?? policy.deadlineMs;
  const deadline = arrivedAt + Math.min(deadlineMs, policy.maxDeadlineMs);
  return Ok({
    target: target.val,
    controls: controls.val,
    fields,
    policy,
    deadline,
  });
}

function findHostFault(
  req: IncomingMessage,
  fields: readonly HeaderField[],
): string | null {
  const hosts = fields.filter(({name}) => name === 'host').length;
  if (hosts > 1) return 'the header host is given twice';
  if (hosts === 0 && req.httpVersion === '1.1') return 'no header host';
  return null;
}

function badRequest(detail: string): Failure {
  return failure('not-run', 'bad-request', detail);
}
