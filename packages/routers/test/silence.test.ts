import type {Incarnation} from '@banyandrum/base/ids.js';
import type {RequestHandler} from '@banyandrum/base/request.js';
import {DEFAULT_TIMING} from '@banyandrum/routers/limits.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import tap, {type Test} from 'tap';
import {createPair, createRequest, echo, outcome, type Pair} from './kit.js';
import {createRelay, type Relay} from './relay.js';

const {silentMs, openMs, reopenMs} = DEFAULT_TIMING;
const NEVER = new Promise<never>(() => {});

interface Scene {
  readonly pair: Pair;
  readonly relay: Relay;
  readonly clock: ManualClock;
  /** The answering router, by way of the relay. */
  readonly to: Incarnation;
  /** Resolves when a request that is never answered has arrived. */
  readonly stuck: Promise<void>;
}

async function createScene(t: Test): Promise<Scene> {
  const clock = createManualClock();
  let arrive = (): void => {};
  const stuck = new Promise<void>(resolve => (arrive = resolve));
  const handleRequest: RequestHandler = req => {
    if (req.key !== 'stuck') return echo(req);
    arrive();
    return NEVER;
  };
  const pair = await createPair({clock, handleRequest});
  const relay = await createRelay(pair.server.address);
  t.teardown(async () => {
    relay.close();
    await pair.close();
  });
  const to = {...pair.to, address: relay.address};
  return {pair, relay, clock, to, stuck};
}

// The caller of the request under way must hear within bounded time that it
// may have run; later callers must not notice anything. The old connection
// goes silent but stays open, a new one to the same router works: traffic
// moves over, and the old stream is cut after one more silent term.
void tap.test('one connection silent, new ones work', async t => {
  const {pair, relay, clock, to, stuck} = await createScene(t);
  const {peers} = pair;
  const first = peers.send(to, createRequest(clock, {key: 'stuck'}));
  await stuck;
  relay.freeze();
  await clock.advance(silentMs);

  const second = await peers.send(to, createRequest(clock));

  t.ok(second.ok);
  t.equal(relay.accepted(), 2);
  await clock.advance(silentMs);
  t.match((await first).val, {
    verdict: 'may-have-run',
    code: 'connection-lost',
  });
  t.ok((await peers.send(to, createRequest(clock))).ok);
  t.equal(relay.accepted(), 2, 'no further connection');
});

// The whole router goes silent: the old connection stands still and a new one
// is accepted but never answered. The request under way may have run, and a
// question that was written counts as silent. Callers that come afterwards are
// told that theirs was not delivered.
void tap.test('old and new connections silent', async t => {
  const {pair, relay, clock, to, stuck} = await createScene(t);
  const {peers} = pair;
  const first = peers.send(to, createRequest(clock, {key: 'stuck'}));
  await stuck;
  relay.freeze();
  relay.setForwarding(false);
  const asked = peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
  await clock.advance(silentMs + openMs);

  t.match((await first).val, {
    verdict: 'may-have-run',
    code: 'connection-lost',
  });
  t.match((await asked).val, {kind: 'silent'});
  const late = await peers.send(to, createRequest(clock));
  t.match(late.val, {verdict: 'not-run', code: 'connection-lost'});
  const unasked = await peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
  t.match(unasked.val, {kind: 'unreachable'});

  relay.setForwarding(true);
  await clock.advance(reopenMs);
  t.ok((await peers.send(to, createRequest(clock))).ok, 'works again');
});

// The process was restarted behind the same address: the old connection is
// silent, and the new one is answered by another run. That proves the old run
// gone, so its requests end at once, and who asks learns of the new run.
void tap.test('another incarnation answers the new connection', async t => {
  const {pair, relay, clock, to, stuck} = await createScene(t);
  const {peers} = pair;
  const restarted = await createPair({
    clock,
    server: {self: () => ({...to, boot: 'answerer-2'})},
  });
  t.teardown(restarted.close);
  const first = peers.send(to, createRequest(clock, {key: 'stuck'}));
  await stuck;
  relay.freeze();
  relay.setTarget(restarted.server.address);
  await clock.advance(silentMs);

  t.match((await first).val, {verdict: 'may-have-run'});
  const found = {...to, boot: 'answerer-2'};
  const asked = await peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
  t.match(asked.val, {kind: 'other-incarnation', found});
  t.same((await peers.probe(to.address, 60_000)).unwrap(), found);
  t.ok((await peers.send(found, createRequest(clock))).ok);
});

// A stream that only seemed silent is heard again, while or after a new one
// was tried. The caller of the slow request on it still gets the answer; later
// callers are served by the new stream, or by the old one if there is none.
for (const newOnesWork of [true, false]) {
  void tap.test(`heard again, new ones work: ${newOnesWork}`, async t => {
    const clock = createManualClock();
    let answer = (): void => {};
    const pair = await createPair({
      clock,
      handleRequest: async req => {
        if (req.key === 'slow') await new Promise<void>(r => (answer = r));
        return echo(req);
      },
      // No heartbeat is due before the silence, so nothing is heard.
      peers: {timing: {heartbeatMs: 10 * silentMs}},
    });
    const relay = await createRelay(pair.server.address);
    t.teardown(async () => {
      relay.close();
      await pair.close();
    });
    const {peers} = pair;
    const to = {...pair.to, address: relay.address};
    const slow = outcome(peers, clock, to, {key: 'slow'});
    await peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
    relay.setForwarding(newOnesWork);
    await clock.advance(silentMs);
    const next = outcome(peers, clock, to);
    if (newOnesWork) t.equal(await next, 'hello', 'on the new one');
    answer();
    t.equal(await slow, 'hello');
    if (!newOnesWork) {
      await clock.advance(openMs);
      t.match(await next, {verdict: 'not-run'});
    }
    t.equal(await outcome(peers, clock, to), 'hello');
    t.equal(relay.accepted(), 2);
  });
}

void tap.test('probes by what they meet', async t => {
  const {pair, relay, clock, to} = await createScene(t);
  const {peers} = pair;
  relay.setForwarding(false);
  const hung = peers.probe(to.address, 500);
  await clock.advance(500);
  t.match((await hung).val, {kind: 'unreachable'}, 'accepted, no greeting');
  relay.close();
  const refused = await peers.probe(to.address, 500);
  t.match(refused.val, {kind: 'unreachable'}, 'refused');
  const nowhere = await peers.probe('', 500);
  t.match(nowhere.val, {kind: 'unreachable'}, 'no address');
});
