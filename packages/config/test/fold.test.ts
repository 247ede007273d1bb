import tap from 'tap';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {
  EMPTY_STATE,
  MAX_AUDIT_ENTRIES,
  MAX_CHANGE_IDS,
  applyRecord,
  versionOf,
} from '@banyandrum/config/fold.js';
import type {Claim, StateRecord} from '@banyandrum/config/records.js';
import {decodeState, encodeState} from '@banyandrum/config/snapshot.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import {
  createRandom,
  generateRecords,
  incarnation,
  inventoryToml,
} from './generate-records.js';

function fold(
  records: readonly (StateRecord | Uint8Array)[],
  from: ClusterState = EMPTY_STATE,
): ClusterState {
  let state = from;
  for (const record of records) {
    const data = record instanceof Uint8Array ? record : encodeRecord(record);
    state = applyRecord(state, state.next, data);
  }
  return state;
}

function publication(
  changeId: string,
  basedOn: number,
  toml = inventoryToml(1),
): StateRecord {
  return {
    kind: 'publication',
    changeId,
    basedOn,
    author: 'night-desk',
    reason: 'a server more',
    at: '2026-01-01T00:00:00Z',
    inventoryToml: toml,
    rulesToml: '',
  };
}

function drain(changeId: string, target: string): StateRecord {
  const by = {author: 'night-desk', reason: 'repair', at: '2026-01-01'};
  return {kind: 'drain', changeId, target, draining: true, ...by};
}

void tap.test('publications', async t => {
  const cases = [
    {
      name: 'two based on one version: the first in the log wins',
      records: [publication('a', 0), publication('b', 0)],
      outcomes: ['accepted', 'conflict'],
      version: 1,
    },
    {
      name: 'a repeat of an accepted one changes nothing',
      records: [publication('a', 0), publication('a', 0)],
      outcomes: ['accepted', 'duplicate'],
      version: 1,
    },
    {
      name: 'a repeat of a refused one stays refused',
      records: [publication('a', 0), publication('b', 0), publication('b', 1)],
      outcomes: ['accepted', 'conflict', 'duplicate'],
      version: 1,
    },
    {
      name: 'one that is invalid leaves the version as it was',
      records: [publication('a', 0), publication('b', 1, 'servers = 3')],
      outcomes: ['accepted', 'invalid'],
      version: 1,
    },
    {
      name: 'shards stay fixed though the service was removed between',
      records: [
        publication('a', 0),
        publication('b', 1, inventoryToml(1).replaceAll('holds', 'beds')),
        publication('c', 2, inventoryToml(1, 16)),
        publication('d', 2, inventoryToml(1)),
      ],
      outcomes: ['accepted', 'accepted', 'invalid', 'accepted'],
      version: 4,
    },
  ];
  for (const {name, records, outcomes, version} of cases) {
    const state = fold(records);
    t.strictSame(
      state.audit.map(entry => entry.outcome),
      outcomes,
      name,
    );
    t.equal(versionOf(state), version, name);
  }
});

function claim(
  previous: number,
  leader: string,
  standby: string | null,
  settled = false,
): Claim {
  return {
    cell: 'holds/0',
    previous,
    leader: incarnation(leader),
    standby: standby === null ? null : incarnation(standby),
    settled,
  };
}

void tap.test('views', async t => {
  const cases: readonly {
    readonly name: string;
    readonly claims: readonly Claim[];
    readonly view: string;
  }[] = [
    {
      name: 'the first claim on an epoch wins',
      claims: [claim(0, 'a', 'b'), claim(1, 'b', 'c'), claim(1, 'c', 'a')],
      view: 'epoch 2 b/c, unsettled: ',
    },
    {
      name: 'a claim on no epoch is void where there is one',
      claims: [claim(0, 'a', 'b'), claim(0, 'c', 'd')],
      view: 'epoch 1 a/b, unsettled: ',
    },
    {
      name: 'a third router leaves the pair unsettled',
      claims: [claim(0, 'a', 'b'), claim(1, 'c', 'd'), claim(2, 'd', 'e')],
      view: 'epoch 3 d/e, unsettled: 1 a/b',
    },
    {
      name: 'two third routers leave two pairs unsettled',
      claims: [claim(0, 'a', 'b'), claim(1, 'c', null), claim(2, 'd', 'e')],
      view: 'epoch 3 d/e, unsettled: 1 a/b, 2 c/-',
    },
    {
      name: 'a cleared leader settles with its next claim',
      claims: [
        claim(0, 'a', 'b'),
        claim(1, 'c', 'd'),
        claim(2, 'c', 'e', true),
      ],
      view: 'epoch 3 c/e, unsettled: ',
    },
    {
      name: 'another router cannot settle',
      claims: [claim(0, 'a', 'b'), claim(1, 'c', 'd', true)],
      view: 'epoch 2 c/d, unsettled: 1 a/b',
    },
  ];
  for (const {name, claims, view} of cases) {
    const state = fold(claims.map(one => ({kind: 'views', claims: [one]})));
    t.equal(showView(state), view, name);
  }
});

function showView(state: ClusterState): string {
  const view = state.views.get('holds/0')!;
  const pair = (of: {
    leader: {host: string};
    standby: {host: string} | null;
  }): string => `${of.leader.host}/${of.standby?.host ?? '-'}`;
  const former = view.unsettled.map(one => `${one.epoch} ${pair(one)}`);
  return `epoch ${view.epoch} ${pair(view)}, unsettled: ${former.join(', ')}`;
}

void tap.test('a drain ends with its server', async t => {
  const before = [publication('a', 0, inventoryToml(2)), drain('d', 'holds-1')];
  const drained = fold([...before, drain('r', 'router-9')]);
  t.strictSame([...drained.drains], ['holds-1', 'router-9']);
  const removed = fold([publication('b', 1, inventoryToml(1))], drained);
  t.strictSame([...removed.drains], ['router-9']);
});

void tap.test('what is kept of the past is bounded', async t => {
  const count = MAX_CHANGE_IDS + 10;
  const drains = Array.from({length: count}, (_, index) =>
    drain(`c${index}`, 'holds-1'),
  );
  const state = fold(drains);
  t.equal(state.audit.length, MAX_AUDIT_ENTRIES);
  t.equal(state.audit.at(-1)?.changeId, `c${count - 1}`);
  t.equal(state.changeIds.size, MAX_CHANGE_IDS);
  t.notOk(state.changeIds.has('c9'));
  t.ok(state.changeIds.has('c10'));
});

void tap.test('records come in any order of writers', async t => {
  // Readers agree on the state whatever the records are. One reads them one by
  // one; another starts from a snapshot taken at a random offset, as a reader
  // does that comes after records expired, and applies the rest twice over.
  // A difference would let two readers follow two leaders of one cell.
  for (let seed = 1; seed <= 60; seed++) {
    const random = createRandom(seed);
    const records = generateRecords(random, 120);
    const whole = fold(records);
    const cut = Math.floor(random() * records.length);
    const loaded = decodeState(encodeState(fold(records.slice(0, cut))))!;
    let late = loaded;
    for (const from of [0, cut]) {
      records.slice(from).forEach((data, index) => {
        late = applyRecord(late, from + index + 1, data);
      });
    }
    t.strictSame(late, whole, `seed ${seed}, snapshot at ${cut}`);
    t.strictSame(
      [...late.changeIds.keys()],
      [...whole.changeIds.keys()],
      `seed ${seed}: the same change ids are trimmed next`,
    );
  }
});

void tap.test('a damaged snapshot is no state', async t => {
  const encoded = encodeState(fold([publication('a', 0)]));
  t.equal(decodeState(encoded)?.publication?.changeId, 'a');
  for (const damaged of ['', 'junk', encoded.slice(0, -20), 'AAAA']) {
    t.equal(decodeState(damaged), null);
  }
});
