import tap from 'tap';
import {
  noteAnswer,
  type Backend,
  type ServerInfo,
} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import type {WireNames} from '@banyandrum/dispatch/wire.js';
import {createColdServers} from '@banyandrum/gateway/cold-servers.js';
import {createListReads} from '@banyandrum/gateway/list-reads.js';
import type {ServerListRead} from '@banyandrum/gateway/platform.js';
import {createServerList} from '@banyandrum/gateway/server-list.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const COLD_MS = 3_000;
const COLD_PER_SECOND = 4.2;
const HEARTBEAT_MS = 870;
/** Time for which a warm server works on a request, and its slots. */
const WORK_MS = 40;
const SLOTS = 4;
/** Requests per second for the server while it is warm. */
const RATE = 80;
const STORE_MS = 4;
const STORE_TIMEOUT_MS = 1_200;
const HEALTH_MS = 2;
const STEP_MS = 5;

const SERVICE: ServiceConfig = {
  ...{name: 'desks', maxConnections: 10, isKeyed: false},
  ...{coldMs: COLD_MS, coldPerSecond: COLD_PER_SECOND, healthPath: '/health'},
};

/** One server, one leader and a store that gives no answers for a while. */
interface Situation {
  /** Times at which the server turns cold, in ms. */
  readonly coldAt: readonly number[];
  /** When the store becomes silent, and for how long, in ms. */
  readonly silentAt: number;
  readonly silentMs: number;
  /** Whether health answers tell the remaining cold time. */
  readonly tellsCold: boolean;
}

/** Plays it; returns the most requests in any second that the cold server got. */
async function mostInSecond(situation: Situation): Promise<number> {
  const {coldAt, silentAt, silentMs, tellsCold} = situation;
  const clock = createManualClock(0);
  const now = clock.now;
  const isSilent = (): boolean =>
    now() >= silentAt && now() < silentAt + silentMs;
  const coldLeft = (at: number): number =>
    Math.max(
      0,
      ...coldAt.filter(from => from <= at).map(from => from + COLD_MS - at),
    );

  /** The remaining cold time in the server's last entry, in ms, and its number. */
  let entry = {coldMs: 0, cursor: 1};
  let nextBeatAt = 0;
  const writeEntryIfDue = (): void => {
    const hasTurned = coldAt.some(at => at <= now() && at > now() - STEP_MS);
    if (!hasTurned && now() < nextBeatAt) return;
    nextBeatAt = now() + HEARTBEAT_MS;
    entry = {coldMs: coldLeft(now()), cursor: entry.cursor + 1};
  };
  const answerAfter = <T>(ms: number, answer: () => T): Promise<T> =>
    new Promise(resolve => clock.after(ms, () => resolve(answer())));
  const readServers = (cursor: number | null): Promise<ServerListRead> => {
    if (isSilent())
      return answerAfter(STORE_TIMEOUT_MS, () => ({
        kind: 'failed',
        detail: '',
      }));
    const {coldMs, cursor: end} = entry;
    const info = {id: 's1', service: 'desks', address: '10.0.0.1:80'};
    const rest = {dataCentre: 'a', slots: SLOTS, isLeaving: false, coldMs};
    const change = {kind: 'listed', server: {...info, ...rest}} as const;
    return answerAfter(STORE_MS, () => ({
      ...{kind: 'read', isWhole: cursor === null, cursor: end},
      changes: cursor === end ? [] : [change],
    }));
  };

  const emit = (): void => undefined;
  const backends = createBackends(clock);
  const list = createServerList(clock, emit, 2_000);
  list.subscribe(() =>
    backends.update(list.snapshot()!.servers as readonly ServerInfo[]),
  );
  const cold = createColdServers({
    ...{clock, emit, backends, list, senders: () => 1},
    names: {coldMs: 'cold-ms'} as WireNames,
    serviceConfig: () => SERVICE,
    askHealth: () =>
      answerAfter(HEALTH_MS, () => {
        const left = coldLeft(now());
        return new Map(tellsCold && left > 0 ? [['cold-ms', `${left}`]] : []);
      }),
  });
  const reads = createListReads({clock, platform: {readServers}, list});

  const coldArrivals: number[] = [];
  const send = (backend: Backend): void => {
    if (!cold.limits.hasToken('s1')) return;
    cold.limits.takeToken('s1');
    backend.allocatedSlots++;
    const isCold = coldLeft(now()) > 0;
    if (isCold) coldArrivals.push(now());
    const workMs = isCold ? WORK_MS * 2 : WORK_MS;
    clock.after(workMs, () => {
      backend.allocatedSlots--;
      cold.check.noteAnswer(backend, workMs);
      noteAnswer(backend, now(), workMs, 0, false, null);
    });
  };
  let nextReadAt = 0;
  let nextSendAt = 0;
  const end = coldAt.at(-1)! + COLD_MS;
  while (now() < end) {
    writeEntryIfDue();
    if (now() >= nextReadAt) {
      nextReadAt = now() + cold.listReadMs();
      void reads.startIfDue(cold.listReadMs());
    }
    const backend = backends.get('s1');
    if (backend !== undefined && now() >= nextSendAt) {
      nextSendAt += 1_000 / RATE;
      send(backend);
    }
    await clock.advance(STEP_MS);
  }
  return Math.max(
    0,
    ...coldArrivals.map(
      from => coldArrivals.filter(at => at >= from && at < from + 1_000).length,
    ),
  );
}

/** For how long the store is silent, in ms. */
const SILENT_TIMES_MS = [0, 20, 60, 150, 400, 1_000, 3_000] as const;
/** From when on, before the server turns cold, in ms. */
const LEADS_MS = [0, 15, 50, 300] as const;

async function mostOfAll(
  coldAt: readonly number[],
  silentMs: number,
  tellsCold: boolean,
): Promise<number> {
  const turnsColdAt = coldAt.at(-1)!;
  const each = LEADS_MS.map(lead =>
    mostInSecond({coldAt, silentAt: turnsColdAt - lead, silentMs, tellsCold}),
  );
  return Math.max(...(await Promise.all(each)));
}

/** The second cold time begins 100 ms before the first ends. */
const COLD_AGAIN = [1_000, 3_900];
/** A server that has been warm for long. */
const COLD_ONCE = [2_000];

for (const silentMs of SILENT_TIMES_MS) {
  // Guards against a server that turns cold again as its cold time ends, and gets
  // the requests of a warm one while the store gives no answer.
  void tap.test(`cold again, a store silent for ${silentMs} ms`, async t => {
    for (const tellsCold of [false, true]) {
      const most = await mostOfAll(COLD_AGAIN, silentMs, tellsCold);
      t.ok(most <= 8, `${most} of 8, health answers tell it: ${tellsCold}`);
    }
  });

  // Guards against the same of a server that was warm for long and says in health
  // answers that it is cold.
  void tap.test(`warm for long, silent for ${silentMs} ms`, async t => {
    const most = await mostOfAll(COLD_ONCE, silentMs, true);
    t.ok(most <= 12, `${most} of 12`);
  });

  // Nobody can know it then before the store answers. Guards against a store that
  // answers again and isn't asked.
  void tap.test(`nobody tells it, silent for ${silentMs} ms`, async t => {
    const most = await mostOfAll(COLD_ONCE, silentMs, false);
    const unreadMs = Math.min(1_000, 2 * silentMs + 2 * 60);
    const allowed = 6 + (RATE * unreadMs) / 1_000;
    t.ok(most <= allowed, `${most} of ${allowed}`);
  });
}
