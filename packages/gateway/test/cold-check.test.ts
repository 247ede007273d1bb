import tap from 'tap';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {
  createColdCheck,
  type ColdCheck,
} from '@banyandrum/gateway/cold-check.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

interface Rig {
  readonly clock: ManualClock;
  readonly check: ColdCheck;
  /** Servers that were asked. */
  readonly asked: string[];
  /** Servers that count as cold, with their times in ms. */
  readonly cold: (readonly [string, number])[];
  listAgeMs: number;
  /** Header fields of each answer. */
  fields: ReadonlyMap<string, string> | null;
}

const SERVICE: ServiceConfig = {
  ...{name: 'desks', maxConnections: 10, isKeyed: false},
  ...{coldMs: 3_000, coldPerSecond: 1.6, healthPath: '/health'},
};

function startRig(service: ServiceConfig = SERVICE): Rig {
  const clock = createManualClock(10_000);
  const rig = {
    ...{clock, asked: [] as string[], cold: [] as [string, number][]},
    listAgeMs: 900,
    fields: new Map([['cold-ms', '2100']]) as Rig['fields'],
  };
  const check = createColdCheck({
    ...{clock, names: {coldMs: 'cold-ms'}, serviceConfig: () => service},
    ...{listAgeMs: () => rig.listAgeMs, listReadMs: () => 400},
    async askHealth({info}) {
      rig.asked.push(info.id);
      return rig.fields;
    },
    noteCold: (server, coldMs) => rig.cold.push([server, coldMs]),
  });
  return Object.assign(rig, {check});
}

function serverOf(id: string, coldUntil = 0): Backend {
  const info = {id, service: 'desks'};
  return {info, serviceMs: 100, coldUntil} as unknown as Backend;
}

// Guards against a server that turns cold while the store is down, and crashes.
void tap.test('a server that answers late is asked', async t => {
  const {check, asked, cold, clock} = startRig();
  check.noteAnswer(serverOf('s1'), 140);
  t.same(asked, [], 'as usual');
  check.noteAnswer(serverOf('s1'), 190);
  check.noteAnswer(serverOf('s1'), 190);
  await clock.advance(1);
  t.same(asked, ['s1'], 'once');
  t.same(cold, [['s1', 2_100]]);
  await clock.advance(390);
  check.noteAnswer(serverOf('s1'), 190);
  t.same(asked, ['s1'], 'not before the list should have been read');
  await clock.advance(10);
  check.noteAnswer(serverOf('s1'), 190);
  t.same(asked, ['s1', 's1'], 'and again later');
});

void tap.test('it is not asked for what is known or of no use', async t => {
  const rig = startRig();
  rig.listAgeMs = 700;
  rig.check.noteAnswer(serverOf('s1'), 190);
  t.same(rig.asked, [], 'its entry tells');
  rig.listAgeMs = 900;
  rig.check.noteAnswer(serverOf('s1', 11_000), 190);
  t.same(rig.asked, [], 'it is cold');
  for (const service of [
    {...SERVICE, coldPerSecond: null},
    {...SERVICE, healthPath: undefined} as unknown as ServiceConfig,
  ]) {
    const other = startRig(service);
    other.check.noteAnswer(serverOf('s1'), 190);
    t.same(other.asked, []);
  }
});

// Guards against load by checks while all servers are slow.
void tap.test('few servers are asked at a time', async t => {
  const {check, asked} = startRig();
  for (let at = 0; at < 30; at++) check.noteAnswer(serverOf(`s${at}`), 190);
  t.equal(asked.length, 8);
});

for (const text of [null, '', '0', '-5', 'soon', '1e9', '999999999']) {
  void tap.test(`an answer that shows no cold time: ${text}`, async t => {
    const rig = startRig();
    rig.fields = text === null ? null : new Map([['cold-ms', text]]);
    rig.check.noteAnswer(serverOf('s1'), 190);
    await rig.clock.advance(1);
    t.same([rig.asked, rig.cold], [['s1'], []]);
  });
}
