import tap from 'tap';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {createEventLog} from '@banyandrum/gateway/event-log.js';

void tap.test('events are written out as whole JSON lines', async t => {
  const path = join(t.testdir({}), 'log');
  const fd = openSync(path, 'w');
  const log = createEventLog(fd, 'entry-1');
  for (let at = 0; at < 500; at++) log.emit('answered', {id: `r${at}`});
  await log.flush(2_000);
  closeSync(fd);
  const lines = readFileSync(path, 'utf8').trim().split('\n');
  t.equal(lines.length, 500);
  t.match(JSON.parse(lines[499]!), {event: 'answered', id: 'r499'});
});

// The reader of the output hangs. Requests must not wait for it, and memory
// must not grow: lines beyond the limit are dropped, and their number is
// logged.
void tap.test('a reader that hangs costs lines, not time', async t => {
  const path = join(t.testdir({}), 'log');
  const fd = openSync(path, 'w');
  const log = createEventLog(fd, 'entry-1');
  const startedAt = performance.now();
  for (let at = 0; at < 20_000; at++) log.emit('answered', {id: `r${at}`});
  t.ok(performance.now() - startedAt < 1_000);
  t.equal(log.dropped(), 18_000);
  await log.flush(2_000);
  closeSync(fd);
  const lines = readFileSync(path, 'utf8').trim().split('\n');
  const reports = lines
    .map(line => JSON.parse(line) as {event: string; count?: number})
    .filter(({event}) => event === 'lines-dropped');
  t.equal(
    reports.reduce((sum, {count}) => sum + (count ?? 0), 0),
    18_000,
  );
});

const LEVELS = [
  ['info', ['request', 'request', 'started']],
  ['warn', ['request', 'started']],
  ['off', []],
] as const;
for (const [level, expected] of LEVELS) {
  void tap.test(`level ${level}`, async t => {
    const path = join(t.testdir({}), 'log');
    const fd = openSync(path, 'w');
    const log = createEventLog(fd, 'entry-1', level);
    log.emit('request', {id: 'a', outcome: 'answered'});
    log.emit('request', {id: 'b', outcome: 'no-owner'});
    log.emit('started', {});
    await log.flush(200);
    closeSync(fd);
    const lines = readFileSync(path, 'utf8').split('\n').filter(Boolean);
    const events = lines.map(
      line => (JSON.parse(line) as {event: string}).event,
    );
    t.same(events, expected);
  });
}
