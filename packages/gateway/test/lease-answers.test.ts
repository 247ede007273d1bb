import tap from 'tap';
import type {AttemptResult} from '@banyandrum/dispatch/attempt.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';
import {createLeaseAnswers} from '@banyandrum/gateway/lease-answers.js';

const NAMES = {requestId: 'x-request'} as WireNames;

function answered(fields: Readonly<Record<string, string>>): AttemptResult {
  const answer = {status: 200, headers: [], body: Buffer.alloc(0)};
  const map = new Map(Object.entries(fields));
  return {kind: 'answered', answer: {...answer, fields: map}};
}

function lost(reason: 'mismatched' | 'timeout'): AttemptResult {
  const common = {isWritten: true, detail: '', fields: new Map()};
  return {kind: 'lost', reason, ...common};
}

// Guards against a log in which copies of answers can't be told from answers, and
// against a line for each answer of a server without ids.
void tap.test('answers to lease calls are told apart', async t => {
  const events: string[] = [];
  const answers = createLeaseAnswers(NAMES, event => events.push(event));
  const results = [
    ...[answered({'x-request': 'c1'}), answered({}), answered({})],
    ...[lost('mismatched'), lost('timeout')],
  ];
  for (const result of results) answers.note({server: 's1', sentAt: 0, result});
  answers.note({server: 's2', sentAt: 0, result: answered({})});
  t.same(answers.counts(), {'by-id': 1, 'by-place': 3, mismatched: 1});
  t.same(events, [
    'lease-answer-without-id',
    'lease-answer-mismatched',
    'lease-answer-without-id',
  ]);
});
