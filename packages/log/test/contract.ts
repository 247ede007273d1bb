import type {Clock} from '@banyandrum/base/clock.js';
import type {Offset} from '@banyandrum/base/ids.js';
import type {LogClient, LogErrorKind, LogPage} from '@banyandrum/log/client.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import type {TAP, Test} from 'tap';

/** Faults of the platform, or of a proxy in front of it. */
export type LogContractFault =
  | 'refuse'
  | 'hang'
  | 'reset'
  | 'silent'
  | 'append-refused'
  | 'append-lost-reset'
  | 'append-lost-hang'
  | 'append-lost-500'
  | 'read-junk'
  | 'read-wrong-shape'
  | 'read-gap'
  | 'read-cut'
  | 'read-oversize'
  | 'read-failed';

/** An empty log whose faults the contract tests can control. */
export interface LogContractTarget {
  /**
   * Creates a client with timeouts of `TIMEOUT_MS` on the given clock, which
   * rejects records above `CLIENT_RECORD_BYTES`.
   */
  createClient(clock: Clock): LogClient;
  induce(fault: LogContractFault): Promise<void>;
  heal(): Promise<void>;
  /** Deletes the records below `first`. */
  expire(first: Offset): Promise<void>;
  close(): Promise<void>;
}

export const TIMEOUT_MS = 1000;
/** Maximum size of a record that the log accepts. */
export const LOG_RECORD_BYTES = 1000;
export const CLIENT_RECORD_BYTES = 2000;

const LONG_WAIT_MS = 20_000;

/**
 * Runs the contract tests of the log against one client.
 *
 * @example
 * ```ts
 * runLogContract(tap, 'stand-in', createTarget);
 * ```
 */
export function runLogContract(
  root: TAP,
  name: string,
  createTarget: () => Promise<LogContractTarget>,
): void {
  for (const row of ROWS) {
    void root.test(`${name}: ${row.name}`, async t => {
      const target = await createTarget();
      const clock = createManualClock();
      const a = target.createClient(clock);
      const b = target.createClient(clock);
      t.teardown(async () => {
        await Promise.all([a.close(), b.close()]);
        await target.close();
      });
      await row.run(t, {target, clock, a, b});
    });
  }
}

interface Fixture {
  readonly target: LogContractTarget;
  readonly clock: ManualClock;
  readonly a: LogClient;
  readonly b: LogClient;
}

interface Row {
  readonly name: string;
  readonly run: (t: Test, fixture: Fixture) => Promise<void>;
}

const ORDINARY_ROWS: readonly Row[] = [
  {
    name: 'offsets are consecutive from 1, and bytes are unchanged',
    run: async (t, {a}) => {
      const all = Uint8Array.from({length: 256}, (_, byte) => byte);
      t.same(await append(a, all), 1);
      t.same(await append(a, new Uint8Array(0)), 2);
      const page = await read(a, 1);
      t.same([page.first, page.end], [1, 3]);
      t.same(
        page.records.map(({data}) => [...data]),
        [[...all], []],
      );
    },
  },
  {
    // Guards against two leaders at once: a leader acts on its last read, which
    // must show any claim confirmed before.
    name: 'a read sent after a confirmed append sees it',
    run: async (t, {a, b}) => {
      for (let i = 0; i < 50; i++) {
        const offset = await append(a, text(i));
        const page = await read(b, offset);
        t.equal(page.records[0]?.offset, offset);
      }
    },
  },
  {
    name: 'concurrent appends: each record once, in the same order for all',
    run: async (t, {a, b}) => {
      const offsets = await Promise.all(
        Array.from({length: 40}, (_, i) => append(i % 2 ? a : b, text(i))),
      );
      const seen = [await read(a, 1), await read(b, 1)];
      t.same(seen[0]?.records, seen[1]?.records);
      offsets.forEach((offset, i) => {
        const record = seen[0]?.records[offset - 1];
        t.same([record?.offset, string(record?.data)], [offset, `${i}`]);
      });
      t.equal(new Set(offsets).size, 40);
    },
  },
  {
    name: 'a page is limited as requested, and empty at the end of the log',
    run: async (t, {a}) => {
      for (let i = 0; i < 5; i++) await append(a, text(i));
      const page = await read(a, 2, 2);
      t.same([page.records.map(offsetOf), page.end], [[2, 3], 6]);
      const last = await read(a, 6);
      t.same([last.records, last.end], [[], 6]);
    },
  },
  {
    name: 'a waiting read returns with the next append',
    run: async (t, {a, b}) => {
      const options = {from: 1, maxRecords: 10, waitMs: LONG_WAIT_MS};
      const waiting = b.read(options);
      await append(a, text(7));
      t.same((await waiting).unwrap().records.map(offsetOf), [1]);
    },
  },
  {
    // Guards against a slow reader that misses deleted records unnoticed.
    name: 'expired records are reported with the oldest retained one',
    run: async (t, {target, a}) => {
      for (let i = 0; i < 6; i++) await append(a, text(i));
      await target.expire(4);
      const gone = await a.read({from: 3, maxRecords: 10, waitMs: 0});
      t.match(gone.val, {kind: 'expired', first: 4});
      const kept = await read(a, 4);
      t.same([kept.first, kept.records.map(offsetOf)], [4, [4, 5, 6]]);
    },
  },
  {
    name: 'a record too large for the log or the client is not applied',
    run: async (t, {a}) => {
      for (const size of [LOG_RECORD_BYTES, CLIENT_RECORD_BYTES]) {
        const appended = await a.append(new Uint8Array(size + 1));
        t.equal(errorKind(appended), 'too-large');
      }
      t.equal(await append(a, new Uint8Array(LOG_RECORD_BYTES)), 1);
    },
  },
  {
    name: 'an append aborted before it starts is not applied',
    run: async (t, {a}) => {
      const appended = await a.append(text(1), AbortSignal.abort());
      t.equal(errorKind(appended), 'unavailable');
      t.equal((await read(a, 1)).end, 1);
    },
  },
  {
    // Guards against `unavailable` for an append that was applied, which the
    // caller would repeat.
    name: 'an append aborted after it was sent is unknown',
    run: async (t, {target, a, b}) => {
      await target.induce('append-lost-hang');
      const stop = new AbortController();
      const appended = a.append(text(1), stop.signal);
      await waitForRecord(b);
      stop.abort();
      t.equal(errorKind(await appended), 'unknown');
    },
  },
  {
    // Guards against one timeout for each idle connection after a network
    // device dropped the state of all connections.
    name: 'dead connections are replaced after one timeout',
    run: async (t, {target, clock, a}) => {
      await Promise.all([append(a, text(1)), append(a, text(2))]);
      await clock.advance(0); // Two connections are idle and will be reused.
      await target.induce('silent');
      const silent = a.read({from: 1, maxRecords: 1, waitMs: 0});
      await clock.advance(TIMEOUT_MS);
      t.equal(errorKind(await silent), 'unavailable');
      t.equal((await read(a, 1)).end, 3);
      t.equal((await read(a, 1)).end, 3);
    },
  },
];

interface AppendFaultCase {
  readonly fault: LogContractFault;
  readonly kind: LogErrorKind;
  readonly applied: boolean;
}

const APPEND_FAULT_CASES: readonly AppendFaultCase[] = [
  {fault: 'refuse', kind: 'unavailable', applied: false},
  {fault: 'hang', kind: 'unknown', applied: false},
  {fault: 'reset', kind: 'unknown', applied: false},
  {fault: 'append-refused', kind: 'unavailable', applied: false},
  {fault: 'append-lost-reset', kind: 'unknown', applied: true},
  {fault: 'append-lost-hang', kind: 'unknown', applied: true},
  {fault: 'append-lost-500', kind: 'unknown', applied: true},
];

/**
 * An append that fails is `unavailable` only if the record was certainly not
 * applied, else `unknown`. A read after the fault shows whether it was applied.
 */
const APPEND_FAULT_ROWS = APPEND_FAULT_CASES.map(
  ({fault, kind, applied}): Row => ({
    name: `append while ${fault}: ${kind}, ${applied ? '' : 'not '}applied`,
    run: async (t, {target, clock, a, b}) => {
      await append(a, text(0));
      await target.induce(fault);
      const appending = a.append(text(1));
      if (applied) await waitForRecord(b, 2);
      await clock.advance(TIMEOUT_MS);
      t.equal(errorKind(await appending), kind);
      await target.heal();
      const found = (await read(a, 1)).records.map(({data}) => string(data));
      t.same(found, applied ? ['0', '1'] : ['0']);
    },
  }),
);

const READ_FAULTS: readonly LogContractFault[] = [
  'refuse',
  'hang',
  'reset',
  'read-junk',
  'read-wrong-shape',
  'read-gap',
  'read-cut',
  'read-oversize',
  'read-failed',
];

/**
 * A read that fails, or gets an incomplete page, is `unavailable` in bounded
 * time and never returns records with a gap. The client then recovers.
 */
const READ_FAULT_ROWS = READ_FAULTS.map((fault): Row => ({
  name: `read while ${fault}: unavailable, then complete`,
  run: async (t, {target, clock, a}) => {
    await append(a, text(0));
    await append(a, text(1));
    await target.induce(fault);
    const readings = [1, 2].map(from =>
      a.read({from, maxRecords: 10, waitMs: 0}),
    );
    if (fault === 'hang') await clock.advance(TIMEOUT_MS);
    const kinds = (await Promise.all(readings)).map(errorKind);
    t.same(kinds, ['unavailable', 'unavailable']);
    await target.heal();
    t.same((await read(a, 1)).records.map(offsetOf), [1, 2]);
  },
}));

const ROWS = [...ORDINARY_ROWS, ...APPEND_FAULT_ROWS, ...READ_FAULT_ROWS];

async function append(client: LogClient, data: Uint8Array): Promise<Offset> {
  return (await client.append(data)).unwrap();
}

async function read(
  client: LogClient,
  from: Offset,
  maxRecords = 100,
): Promise<LogPage> {
  return (await client.read({from, maxRecords, waitMs: 0})).unwrap();
}

async function waitForRecord(client: LogClient, from = 1): Promise<void> {
  const options = {from, maxRecords: 1, waitMs: LONG_WAIT_MS};
  (await client.read(options)).unwrap();
}

function errorKind(
  result: Awaited<ReturnType<LogClient['append' | 'read']>>,
): LogErrorKind | null {
  return result.err ? result.val.kind : null;
}

function offsetOf(record: {readonly offset: Offset}): Offset {
  return record.offset;
}

function text(value: number): Uint8Array {
  return Buffer.from(`${value}`);
}

function string(data: Uint8Array | undefined): string {
  return Buffer.from(data ?? []).toString();
}
