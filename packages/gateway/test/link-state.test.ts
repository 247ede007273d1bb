import tap from 'tap';
import fc from 'fast-check';
import type {ServerInfo} from '@banyandrum/dispatch/backend.js';
import type {ServedTables} from '@banyandrum/gateway/key-owners.js';
import {
  applyList,
  applyTables,
  diffList,
  diffTables,
} from '@banyandrum/gateway/link-state.js';
import {MAX_KEY, type ServedRange} from '@banyandrum/ranges/table.js';

const SEED = 20_261_203;

/** Ranges without gaps, each with a server or none. */
const RANGES: fc.Arbitrary<readonly ServedRange[]> = fc
  .tuple(
    fc.uniqueArray(fc.integer({min: 1, max: MAX_KEY}), {maxLength: 12}),
    fc.array(fc.constantFrom('s1', 's2', 's3', null), {minLength: 13}),
  )
  .map(([cuts, servers]) => {
    const starts = [0, ...[...cuts].sort((a, b) => a - b)];
    return starts.map((from, at) => ({
      from,
      to: (starts[at + 1] ?? MAX_KEY + 1) - 1,
      server: servers[at]!,
    }));
  });

const TABLES: fc.Arbitrary<ServedTables> = RANGES.map(
  ranges => new Map([['rounds', ranges]]),
);

const SERVERS: fc.Arbitrary<readonly ServerInfo[]> = fc.uniqueArray(
  fc.record({
    id: fc.constantFrom('s1', 's2', 's3', 's4', 's5'),
    service: fc.constantFrom('rounds', 'desks'),
    address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:80'),
    dataCentre: fc.constant('a'),
    slots: fc.constantFrom(2, 4),
    isLeaving: fc.boolean(),
    coldUntil: fc.constant(0),
  }),
  {selector: ({id}) => id},
);

function sorted(servers: readonly ServerInfo[]): readonly ServerInfo[] {
  return [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
}

// Guards against lost changes, after which a router would send requests to
// servers that left or that own other keys. After each delta, for any sequence
// of states, the follower's state must equal the leader's.
void tap.test('changes lead to the state of the leader', async t => {
  t.doesNotThrow(() =>
    fc.assert(
      fc.property(fc.array(TABLES), fc.array(SERVERS), (tables, lists) => {
        let sent: ServedTables = new Map();
        let received: ServedTables = new Map();
        for (const next of tables) {
          const delta = diffTables(sent, next);
          if (delta !== null) received = applyTables(received, delta);
          sent = next;
          const difference =
            diffTables(received, sent) ?? diffTables(sent, received);
          if (difference !== null) return false;
        }
        let sentList: readonly ServerInfo[] = [];
        let receivedList: readonly ServerInfo[] = [];
        for (const next of lists) {
          const delta = diffList(sentList, next, 0);
          if (delta !== null) receivedList = applyList(receivedList, delta, 0);
          sentList = next;
          const [a, b] = [sorted(receivedList), sorted(sentList)];
          if (JSON.stringify(a) !== JSON.stringify(b)) return false;
        }
        return true;
      }),
      {seed: SEED, numRuns: 500},
    ),
  );
});

// Guards against sending the full list when one of 118 servers changes its
// state. For 58 routers that was a megabyte, which took more than a second on a
// slow link, and all followers left the leader because it timed out.
void tap.test('the delta of one change is small', async t => {
  const servers = Array.from({length: 118}, (_, at): ServerInfo => ({
    ...{id: `i-${at}`, service: 'rounds', address: `10.0.0.${at}:8080`},
    ...{dataCentre: 'a', slots: 4, isLeaving: false, coldUntil: 0},
  }));
  const next = servers.map((server, at) => ({
    ...server,
    isLeaving: at === 7,
  }));
  const bytes = JSON.stringify(diffList(servers, next, 0)).length;
  const fullBytes = JSON.stringify(servers).length;
  t.ok(bytes < 250, `${bytes} bytes instead of ${fullBytes}`);
  t.equal(diffList(servers, servers, 0), null);
});
