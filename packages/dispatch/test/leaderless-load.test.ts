import tap from 'tap';
import {
  eject,
  noteAnswer,
  noteLoss,
  type Backend,
} from '@banyandrum/dispatch/backend.js';
import {createBackends} from '@banyandrum/dispatch/backends.js';
import {
  chooseServer,
  estimateLoad,
} from '@banyandrum/dispatch/choose-server.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {createRandom} from '@banyandrum/standins/seeded-random.js';

const SLOTS = 2;
/** Requests that a server queues before it resets further connections. */
const QUEUE_LIMIT = 8;
const WORK_MS = 220;
const TARGET_MS = 606;
const TIMEOUT_MS = 1_200;
const LOAD = 0.75;
const SPEEDS = [0.5, 1, 1, 1.5];
const MEASURING_MS = 10_000;
const LEADERLESS_MS = 3_000;
const POLL_MS = 50;

interface Fleet {
  readonly routers: number;
  readonly servers: number;
  readonly seed: number;
}

interface Counts {
  requests: number;
  onTime: number;
  reset: number;
}

interface SimulatedServer {
  readonly speed: number;
  running: number;
  readonly queue: (() => void)[];
}

/** Runs a request at a server, or queues it; false if its queue is full. */
function runAt(
  server: SimulatedServer,
  {clock, workMs}: {readonly clock: ManualClock; readonly workMs: number},
  done: () => void,
): boolean {
  const start = (): void => {
    server.running++;
    clock.after(workMs / server.speed, () => {
      server.running--;
      done();
      server.queue.shift()?.();
    });
  };
  if (server.running < SLOTS) start();
  else if (server.queue.length < QUEUE_LIMIT) server.queue.push(start);
  else return false;
  return true;
}

/**
 * Routers that choose servers on their own, after a time in which a leader chose
 * an idle server for each request.
 */
async function simulate({routers, servers, seed}: Fleet): Promise<Counts> {
  const clock = createManualClock(1_000);
  const random = createRandom(seed * 7_919);
  const simulated = Array.from({length: servers}, (_, at): SimulatedServer => ({
    speed: SPEEDS[at % SPEEDS.length]!,
    ...{running: 0, queue: []},
  }));
  const infos = simulated.map((_, at) => ({
    ...{id: `s${at}`, service: 'desks', address: `10.0.0.${at}:80`},
    ...{dataCentre: 'a', slots: SLOTS, isLeaving: false, coldUntil: 0},
  }));
  const views = Array.from({length: routers}, () => {
    const backends = createBackends(clock);
    backends.update(infos);
    return backends.ofService('desks');
  });
  const counts: Counts = {requests: 0, onTime: 0, reset: 0};
  let isLed = true;
  const serverOf = ({info}: Backend): SimulatedServer =>
    simulated[infos.findIndex(({id}) => id === info.id)]!;

  const chooseIdle = (view: readonly Backend[]): Backend | null =>
    view
      .filter(each => serverOf(each).running < SLOTS)
      .sort((a, b) => serverOf(b).speed - serverOf(a).speed)[0] ?? null;

  const send = (view: readonly Backend[], startedAt: number): void => {
    const now = clock.now();
    const backend = isLed
      ? chooseIdle(view)
      : chooseServer(view, new Set(), routers, now);
    if (backend === null) {
      clock.after(POLL_MS, () => send(view, startedAt));
      return;
    }
    const isCounted = !isLed;
    const inFlightAtSend = estimateLoad(backend, 0, now);
    const server = serverOf(backend);
    const workMs = WORK_MS * (0.2 + 1.6 * random());
    let isTimedOut = false;
    const cancelTimeout = clock.after(TIMEOUT_MS, () => {
      isTimedOut = true;
      backend.inFlight--;
      noteLoss(backend, clock.now(), TIMEOUT_MS);
    });
    backend.inFlight++;
    const isAccepted = runAt(server, {clock, workMs}, () => {
      if (isTimedOut) return;
      cancelTimeout();
      backend.inFlight--;
      const doneAt = clock.now();
      const {running, queue} = server;
      noteAnswer(backend, doneAt, doneAt - now, inFlightAtSend, false, {
        ...{running, waiting: queue.length, slots: SLOTS},
      });
      if (isCounted && doneAt - startedAt <= TARGET_MS) counts.onTime++;
    });
    if (isAccepted) return;
    cancelTimeout();
    backend.inFlight--;
    eject(backend, now, true);
    noteLoss(backend, now, 0);
    counts.reset++;
  };

  const capacity = simulated.reduce((sum, {speed}) => sum + SLOTS * speed, 0);
  const perMs = (LOAD * capacity) / WORK_MS;
  const play = async (durationMs: number): Promise<void> => {
    for (let at = 0; at < durationMs; at += -Math.log(1 - random()) / perMs) {
      clock.after(at, () => {
        if (!isLed) counts.requests++;
        send(views[Math.floor(random() * routers)]!, clock.now());
      });
    }
    await clock.advance(durationMs);
  };
  await play(MEASURING_MS);
  isLed = false;
  await play(LEADERLESS_MS);
  await clock.advance(TIMEOUT_MS);
  return counts;
}

// Guards against routers that all choose the same few servers while they have no
// leader, until these reset connections although others are idle.
for (const [routers, servers] of [
  [9, 9],
  [77, 47],
] as const) {
  void tap.test(`${routers} routers without a leader`, async t => {
    const total: Counts = {requests: 0, onTime: 0, reset: 0};
    for (const seed of [1, 2, 3]) {
      const counts = await simulate({routers, servers, seed});
      total.requests += counts.requests;
      total.onTime += counts.onTime;
      total.reset += counts.reset;
    }
    const reset = total.reset / total.requests;
    t.ok(reset <= 0.01, `${reset.toFixed(3)} reset by full servers`);
    t.comment(`${(total.onTime / total.requests).toFixed(3)} on time`);
  });
}
