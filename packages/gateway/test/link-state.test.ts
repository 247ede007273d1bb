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
    coldMs: fc.constant(0),
  }),
  {selector: ({id}) => id},
);

function sorted(servers: readonly ServerInfo[]): readonly ServerInfo[] {
  return [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
}

// A router that missed a change would send requests to a server that left, or
// that holds other keys: after each change it must know just what the leader
// does, whatever came before.
void tap.test('changes lead to what the leader knows', async t => {
  t.doesNotThrow(() =>
    fc.assert(
      fc.property(fc.array(TABLES), fc.array(SERVERS), (tables, lists) => {
        let told: ServedTables = new Map();
        let known: ServedTables = new Map();
        for (const next of tables) {
          const delta = diffTables(told, next);
          if (delta !== null) known = applyTables(known, delta);
          told = next;
          const same = diffTables(known, told) ?? diffTables(told, known);
          if (same !== null) return false;
        }
        let toldList: readonly ServerInfo[] = [];
        let knownList: readonly ServerInfo[] = [];
        for (const next of lists) {
          const delta = diffList(toldList, next);
          if (delta !== null) knownList = applyList(knownList, delta);
          toldList = next;
          const [a, b] = [sorted(knownList), sorted(toldList)];
          if (JSON.stringify(a) !== JSON.stringify(b)) return false;
        }
        return true;
      }),
      {seed: SEED, numRuns: 500},
    ),
  );
});

// One of 118 servers changes its state. Told whole to 58 routers, such a list
// was a megabyte, more than a second on a thin link, and all routers left a
// leader that they took for silent.
void tap.test('one change costs little', async t => {
  const servers = Array.from({length: 118}, (_, at): ServerInfo => ({
    ...{id: `i-${at}`, service: 'rounds', address: `10.0.0.${at}:8080`},
    ...{dataCentre: 'a', slots: 4, isLeaving: false, coldMs: 0},
  }));
  const next = servers.map((server, at) => ({
    ...server,
    isLeaving: at === 7,
  }));
  const bytes = JSON.stringify(diffList(servers, next)).length;
  const whole = JSON.stringify(servers).length;
  t.ok(bytes < 250, `${bytes} bytes instead of ${whole}`);
  t.equal(diffList(servers, servers), null);
});
