import tap from 'tap';
import type {Test} from 'tap';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {EMPTY_STATE, applyRecord, versionOf} from '@banyandrum/config/fold.js';
import {createStateStore} from '@banyandrum/config/log-store.js';
import type {StateStoreOptions} from '@banyandrum/config/log-store.js';
import type {StateRecord} from '@banyandrum/config/records.js';
import {encodeState} from '@banyandrum/config/snapshot.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {StateStore} from '@banyandrum/config/store.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';
import {
  createRandom,
  generateRecords,
  inventoryToml,
} from './generate-records.js';
import {createMemoryLog} from './memory-log.js';
import type {MemoryLog} from './memory-log.js';

interface Bench {
  readonly clock: ManualClock;
  readonly log: MemoryLog;
  /** Starts a reader of the log; it is closed after the test. */
  open(options?: Partial<StateStoreOptions>): StateStore;
}

function createBench(t: Test): Bench {
  const clock = createManualClock();
  const log = createMemoryLog(clock);
  return {
    clock,
    log,
    open(options = {}) {
      const store = createStateStore({
        client: log.client(),
        clock,
        log: createSilentLogger(),
        random: () => 0.5,
        ...options,
      });
      t.teardown(() => store.close());
      return store;
    },
  };
}

function publication(changeId: string, basedOn: number): StateRecord {
  return {
    kind: 'publication',
    changeId,
    basedOn,
    author: 'night-desk',
    reason: 'test',
    at: '2026-01-01T00:00:00Z',
    inventoryToml: inventoryToml(1),
    rulesToml: '',
  };
}

function drain(target: string): StateRecord {
  const by = {author: 'a', reason: 'r', at: '2026-01-01'};
  return {kind: 'drain', changeId: target, ...by, target, draining: true};
}

function foldAll(log: MemoryLog, from = EMPTY_STATE): ClusterState {
  return log
    .records()
    .reduce((state, {offset, data}) => applyRecord(state, offset, data), from);
}

void tap.test('an append whose reply is lost is found in the log', async t => {
  // The operator's publication is applied, but the log's reply never comes.
  // Appended again blindly, it would stand in the log twice; answered with
  // "unknown", the operator would not know what is in force. The store reads
  // its own record back, so the operator is told of the version at once.
  const {clock, log, open} = createBench(t);
  const store = open();
  await clock.advance(10);
  log.losesReplies = true;
  const appending = store.append(publication('a', 0));
  await clock.advance(10);
  const appended = (await appending).unwrap();
  t.equal(appended.offset, 1);
  t.equal(versionOf(appended.state), 1);
  t.equal(log.records().length, 1);
});

void tap.test('an append ends in bounded time', async t => {
  const cases = [
    {
      name: 'log refuses: proved not applied, at once',
      fault: (log: MemoryLog) => (log.isDown = true),
      kind: 'unavailable',
      afterMs: 0,
    },
    {
      name: 'lost on the way, for all we know: unknown after the wait',
      fault: (log: MemoryLog) => (log.losesAppends = true),
      kind: 'unknown',
      afterMs: 3_000,
    },
    {
      name: 'applied, then the log falls silent: unknown after the wait',
      fault: (log: MemoryLog) => {
        log.losesReplies = true;
        const {append} = log;
        log.append = data => {
          log.isDown = true;
          return append(data);
        };
      },
      kind: 'unknown',
      afterMs: 3_000,
    },
  ];
  for (const {name, fault, kind, afterMs} of cases) {
    const {clock, log, open} = createBench(t);
    const store = open({readBackMs: 3_000});
    await clock.advance(10);
    fault(log);
    let settled = false;
    const appending = store.append(publication('a', 0));
    void appending.then(() => (settled = true));
    await clock.advance(Math.max(0, afterMs - 1));
    t.equal(settled, afterMs === 0, name);
    await clock.advance(1);
    const appended = await appending;
    t.equal(appended.err && appended.val.kind, kind, name);
  }
});

void tap.test('a record that readers would skip is refused', async t => {
  const {clock, log, open} = createBench(t);
  const store = open();
  await clock.advance(10);
  const appended = await store.append({
    ...drain('s'),
    target: '',
  } as StateRecord);
  t.equal(appended.err && appended.val.kind, 'unavailable');
  t.equal(log.records().length, 0);
});

void tap.test('a caller that gives up is told what is not known', async t => {
  const {clock, log, open} = createBench(t);
  const store = open();
  await clock.advance(10);
  const before = await store.append(publication('a', 0), AbortSignal.abort());
  t.equal(before.err && before.val.kind, 'unavailable');
  log.losesAppends = true;
  const giveUp = new AbortController();
  const appending = store.append(publication('a', 0), giveUp.signal);
  await clock.advance(10);
  giveUp.abort();
  const during = await appending;
  t.equal(during.err && during.val.kind, 'unknown');
});

void tap.test('readers agree whatever way they read', async t => {
  // Three readers of one log: one in small pages, one in large ones, one that
  // starts after the first records expired and goes by a snapshot. Had they
  // different states, two routers could lead one cell.
  for (let seed = 1; seed <= 10; seed++) {
    const {clock, log, open} = createBench(t);
    const random = createRandom(seed);
    const records = generateRecords(random, 90);
    const snapshotAt = 30 + Math.floor(random() * 40);
    const small = open({maxRecords: 1 + Math.floor(random() * 4)});
    const large = open({maxRecords: 64});
    for (const [index, data] of records.entries()) {
      log.append(data);
      if (index !== snapshotAt) continue;
      const state = foldAll(log);
      const {next} = state;
      log.append(
        encodeRecord({kind: 'snapshot', next, state: encodeState(state)}),
      );
    }
    await clock.advance(5);
    const whole = foldAll(log);
    log.expire(1 + Math.floor(random() * snapshotAt));
    const late = open({maxRecords: 7});
    await clock.advance(1_000);
    for (const [name, store] of Object.entries({small, large, late})) {
      t.strictSame(store.current(), whole, `seed ${seed}, ${name}`);
      t.ok(store.confirmedAt() >= 0, `seed ${seed}, ${name} has read all`);
    }
  }
});

void tap.test('a snapshot that leaves a gap is not taken', async t => {
  // Records up to 4 expired; the snapshot in the log holds those below 3 only.
  // A reader that took it would miss record 3 and 4: here a view, so it would
  // follow a deposed leader. It waits for a snapshot without the gap instead,
  // and does not count as having read the log until then.
  const {clock, log, open} = createBench(t);
  log.append(encodeRecord(publication('a', 0)));
  log.append(encodeRecord(publication('b', 1)));
  const old = foldAll(log);
  log.append(encodeRecord(publication('c', 2)));
  log.append(encodeRecord(publication('d', 3)));
  const whole = foldAll(log);
  const snapshot = (state: ClusterState): Uint8Array =>
    encodeRecord({
      kind: 'snapshot',
      next: state.next,
      state: encodeState(state),
    });
  log.append(snapshot(old));
  log.expire(5);
  const store = open();
  await clock.advance(1_000);
  t.equal(store.current().next, 1);
  t.equal(store.confirmedAt(), -Infinity);
  log.append(snapshot(whole));
  await clock.advance(1_000);
  t.equal(versionOf(store.current()), 4);
  t.equal(store.current().next, 7);
  t.ok(store.confirmedAt() > 0);
});

void tap.test('a start goes on from the newest snapshot', async t => {
  // With a month of changes in the log, applying each of them would keep a
  // router from serving for minutes. The snapshots here hold a drain that the
  // records before them lack, to show where the state came from.
  const {clock, log, open} = createBench(t);
  for (const target of ['first', 'second']) {
    log.append(Buffer.from('{}'));
    const state = {...foldAll(log), drains: new Set([target])};
    const {next} = state;
    log.append(
      encodeRecord({kind: 'snapshot', next, state: encodeState(state)}),
    );
  }
  log.append(encodeRecord(drain('after')));
  const store = open({maxRecords: 2});
  await clock.advance(500);
  t.strictSame([...store.current().drains], ['second', 'after']);
  t.equal(store.current().next, 6);
  t.equal(store.current().audit.length, 3, 'the same audit trail');
});

void tap.test('a peer helps a start without the log', async t => {
  // A router restarts while the log is down. A peer's state lets it serve;
  // an older one, a second peer's, must not take it back. When the log is up
  // again but its old records have expired, it goes on from what it has.
  const {clock, log, open} = createBench(t);
  log.append(encodeRecord(publication('a', 0)));
  const older = encodeState(foldAll(log));
  log.append(encodeRecord(publication('b', 1)));
  const newer = encodeState(foldAll(log));
  log.append(encodeRecord(publication('c', 2)));
  log.isDown = true;
  const store = open();
  const seen: number[] = [];
  store.subscribe(state => seen.push(versionOf(state)));
  await clock.advance(10);
  t.ok(store.adopt(newer));
  t.notOk(store.adopt(older));
  t.notOk(store.adopt(newer));
  t.notOk(store.adopt('junk'));
  t.equal(store.confirmedAt(), -Infinity);
  log.expire(3);
  log.isDown = false;
  await clock.advance(3_000);
  t.strictSame(seen, [2, 3]);
  t.ok(store.confirmedAt() > 0);
});

void tap.test('a peer helps a late start', async t => {
  // The log has no snapshot that covers what expired. Without a peer's state
  // this router could not start until another writes one.
  const {clock, log, open} = createBench(t);
  log.append(encodeRecord(publication('a', 0)));
  log.append(encodeRecord(publication('b', 1)));
  const state = foldAll(log);
  log.append(encodeRecord(publication('c', 2)));
  log.expire(3);
  const store = open();
  await clock.advance(500);
  t.equal(versionOf(store.current()), 0);
  t.ok(store.adopt(encodeState(state)));
  await clock.advance(500);
  t.equal(versionOf(store.current()), 3);
  t.ok(store.confirmedAt() > 0);
});

void tap.test('snapshots are written again before they expire', async t => {
  // Nothing changes for longer than the log keeps records. If nobody wrote a
  // snapshot meanwhile, a new router would find an empty log: everything that
  // was published would be gone. Two routers share the work.
  const {clock, log, open} = createBench(t);
  const retentionMs = 60_000;
  const random = createRandom(7);
  const options = {retentionMs, random, snapshotJitterMs: 2_000};
  const times: number[] = [];
  const {append} = log;
  log.append = data => {
    times.push(clock.now());
    return append(data);
  };
  open(options);
  const store = open(options);
  await clock.advance(10);
  log.append(encodeRecord(publication('a', 0)));
  await clock.advance(10 * retentionMs);
  const gaps = times.slice(1).map((time, index) => time - times[index]!);
  const longest = Math.max(...gaps, clock.now() - times.at(-1)!);
  t.ok(longest < 0.6 * retentionMs, `${longest} ms at most without one`);
  t.ok(gaps.length <= 26, `${gaps.length} snapshots: few are written twice`);
  t.equal(versionOf(store.current()), 1);
});

void tap.test('snapshots are written after so many records', async t => {
  const {clock, log, open} = createBench(t);
  open({snapshotAfterRecords: 50, snapshotJitterMs: 100});
  await clock.advance(10);
  for (let index = 0; index < 49; index++) log.append(Buffer.from('{}'));
  await clock.advance(5_000);
  t.equal(log.records().length, 49);
  log.append(Buffer.from('{}'));
  await clock.advance(5_000);
  t.equal(log.records().length, 51);
});
