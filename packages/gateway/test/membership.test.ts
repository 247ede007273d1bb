import tap from 'tap';
import {
  joinRouterGroup,
  type RouterGroup,
} from '@banyandrum/gateway/membership.js';
import type {Members} from '@banyandrum/gateway/platform.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

const SILENCE_MS = 1_000;
const DEPUTIES = 3;
const REST_MS = 5_000;

/** The platform's group: who was silent is out, the first one is chosen. */
function createGroup(now: () => number): {
  calls: number;
  memberOf(name: string): Members;
} {
  const seenAt = new Map<string, number>();
  const group = {
    calls: 0,
    memberOf: (name: string): Members => ({
      async join() {
        group.calls++;
        seenAt.set(name, now());
        for (const [other, at] of seenAt) {
          if (now() - at > SILENCE_MS) seenAt.delete(other);
        }
        const [first] = seenAt.keys();
        return {generation: seenAt.size, isChosen: first === name};
      },
      leave: async () => true,
      async list() {
        group.calls++;
        return [...seenAt.keys()];
      },
    }),
  };
  return group;
}

interface Seen {
  /** Calls a second while the leader works. */
  readonly atRest: number;
  /** From the leader's loss until one was told that it is chosen, in ms. */
  readonly chosenAfterMs: number;
}

/** Routers of which the first leads; then it and the deputies are lost. */
async function play(count: number): Promise<Seen> {
  const clock = createManualClock(1_000);
  const group = createGroup(clock.now);
  let isLost = false;
  let hasLeader = false;
  const lost = new Set<number>();
  const routers: RouterGroup[] = Array.from({length: count}, (_, at) => {
    const member = group.memberOf(`entry-${at}`);
    return joinRouterGroup({
      members: {
        ...member,
        join: async () => (lost.has(at) ? null : member.join()),
      },
      ...{clock, suspendAwareNow: clock.now},
      emit: () => undefined,
      onJoined: () => undefined,
      onReplaced: () => undefined,
      followsLeader: () => hasLeader && !isLost,
      maySkipJoin: () => hasLeader && !isLost && at > DEPUTIES,
    });
  });
  await clock.advance(1_000);
  hasLeader = true;
  await clock.advance(2_000);
  const before = group.calls;
  await clock.advance(REST_MS);
  const atRest = ((group.calls - before) * 1_000) / REST_MS;
  isLost = true;
  for (let at = 0; at <= DEPUTIES; at++) lost.add(at);
  const lostAt = clock.now();
  const isChosen = (): boolean =>
    routers.some((router, at) => !lost.has(at) && router.isChosen());
  while (!isChosen() && clock.now() - lostAt < 10_000) {
    await clock.advance(50);
  }
  return {atRest, chosenAfterMs: clock.now() - lostAt};
}

// Every router showed itself to the platform three times a second, though a
// leader worked and all heard it: 230 calls a second at 81 hosts, 13,400 at
// 4,700, of the 6,000 that the platform answers. Now the leader and those who
// stand ready do; the others only once the leader is lost, and even where all
// of the former are lost with it the next one is chosen as soon as before.
for (const count of [10, 80, 300, 1_000]) {
  void tap.test(`${count} routers at rest, and their loss`, async t => {
    const {atRest, chosenAfterMs} = await play(count);
    t.ok(atRest <= 12, `${atRest} calls a second`);
    t.ok(chosenAfterMs <= 1_700, `chosen after ${chosenAfterMs} ms`);
  });
}
