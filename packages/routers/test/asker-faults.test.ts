import type {Failure} from '@banyandrum/base/failure.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Frame} from '@banyandrum/routers/frames.js';
import {MAX_MESSAGE_BYTES, WINDOW_BYTES} from '@banyandrum/routers/limits.js';
import {createPeers, type Peers} from '@banyandrum/routers/peers.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import tap, {type Test} from 'tap';
import {createName, outcome, SCHEMAS, SELF, type Kinds} from './kit.js';
import {createScriptedServer, helloOf, type OnFrame} from './script.js';

interface Case {
  readonly title: string;
  /** What the other router writes when the request's head has come. */
  readonly writes?: (id: number) => readonly Frame[] | Buffer;
  /** Whether it ends the stream then. */
  readonly ends?: boolean;
  /** The body that the caller gets, or how it fails. */
  readonly expected: string | Partial<Failure>;
}

const EMPTY = Buffer.alloc(0);
const JUNK = Buffer.from('junk\xff\xff');
const LOST = {verdict: 'may-have-run', code: 'connection-lost'} as const;
const CUT = {verdict: 'ran', code: 'truncated'} as const;

// The caller of one request gets either the whole answer that belongs to it
// or an honest verdict, whatever the other router writes: wrong order, other
// ids, cut streams, junk. Before an answer's head it may have run; after it,
// it ran and the body throws, so that a cut answer never looks whole.
const CASES: readonly Case[] = [
  {title: 'whole', writes: id => [whole(id, 'mine')], expected: 'mine'},
  {
    title: 'answers to other ids come first',
    writes: id => [
      whole(id + 1, 'later'),
      whole(0, 'none'),
      chunk(id + 7, 'x', true),
      whole(id, 'mine'),
    ],
    expected: 'mine',
  },
  {
    title: 'a second answer after the first',
    writes: id => [whole(id, 'mine'), whole(id, 'other')],
    expected: 'mine',
  },
  {
    title: 'chunks',
    writes: id => [head(id), chunk(id, 'mi', false), chunk(id, 'ne', true)],
    expected: 'mine',
  },
  {title: 'stream ended without one', ends: true, expected: LOST},
  {
    title: 'stream ended within it',
    writes: id => [head(id), chunk(id, 'mi', false)],
    ends: true,
    expected: CUT,
  },
  {
    title: 'failure within it',
    writes: id => [head(id), failed(id, 'ran', 'truncated', -1)],
    expected: CUT,
  },
  {
    title: 'failure passes as it is',
    writes: id => [failed(id, 'not-run', 'moved', 40)],
    expected: {verdict: 'not-run', code: 'moved', retryAfterMs: 40},
  },
  {
    title: 'failure of unknown words',
    writes: id => [failed(id, 'toString', 'x', -1)],
    expected: {verdict: 'may-have-run', code: 'internal'},
  },
  {
    title: 'second head',
    writes: id => [head(id), head(id)],
    expected: CUT,
  },
  {
    title: 'chunk before its head',
    writes: id => [chunk(id, 'mine', true)],
    expected: LOST,
  },
  {
    title: 'more than the window',
    writes: id => [head(id), chunk(id, 'x'.repeat(WINDOW_BYTES + 1), true)],
    expected: CUT,
  },
  {title: 'junk', writes: () => JUNK, expected: LOST},
  {title: 'empty message', writes: () => EMPTY, expected: LOST},
  {
    title: 'oversize message',
    writes: id => [whole(id, 'x'.repeat(MAX_MESSAGE_BYTES + 1))],
    expected: LOST,
  },
  {
    title: 'frame of the wrong side',
    writes: id => [{id, cancel: {}}],
    expected: LOST,
  },
];

for (const {title, writes, ends, expected} of CASES) {
  void tap.test(`answer: ${title}`, async t => {
    const {peers, to} = await createScene(t, ({id, requestHead}, script) => {
      if (!requestHead) return;
      if (writes) script.write(writes(id));
      if (ends) script.end();
    });
    t.match(await outcome(peers, CLOCK, to), expected);
  });
}

// A router that doesn't greet as agreed gets no request: the caller hears
// that nothing was delivered, and the greeting's fault is named.
const GREETINGS = [
  {
    title: 'without a name',
    writes: [helloOf(createName('', ''))],
    kind: 'invalid',
  },
  {title: 'junk', writes: JUNK, kind: 'invalid'},
  {title: 'another frame', writes: [whole(1, 'early')], kind: 'invalid'},
  {title: 'the end', writes: null, kind: 'unreachable'},
];

for (const {title, writes, kind} of GREETINGS) {
  void tap.test(`greeting: ${title}`, async t => {
    const seen: Frame[] = [];
    const onFrame: OnFrame = (frame, script) => {
      seen.push(frame);
      if (writes === null) script.end();
      else script.write(writes);
    };
    const {peers, to} = await createScene(t, onFrame, false);
    const asked = await peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
    t.match(asked.val, {kind});
    t.match(await outcome(peers, CLOCK, to), {verdict: 'not-run'});
    t.notOk(seen.some(frame => frame.requestHead ?? frame.controlAsk));
  });
}

// The caller gives up (or its time is over) and is answered at once; the
// answer that comes later must not reach the next caller on the same stream.
for (const code of ['cancelled', 'deadline']) {
  void tap.test(`late answer after ${code}`, async t => {
    const caller = new AbortController();
    const giveUp = (): void => {
      if (code === 'cancelled') caller.abort();
      else void CLOCK.advance(500);
    };
    const onFrame: OnFrame = ({id, requestHead, cancel}, script) => {
      if (requestHead?.key === 'late') giveUp();
      if (cancel) script.write([whole(id, 'for the first')]);
      if (requestHead?.key === 'next') script.write([whole(id, 'mine')]);
    };
    const {peers, to} = await createScene(t, onFrame);
    const deadline = CLOCK.now() + 500;
    const {signal} = caller;
    const fields = {key: 'late', signal, deadline};
    const first = await outcome(peers, CLOCK, to, fields);
    t.match(first, {verdict: 'may-have-run', code});
    t.equal(await outcome(peers, CLOCK, to, {key: 'next'}), 'mine');
  });
}

const CLOCK = createManualClock();

interface Scene {
  readonly peers: Peers<Kinds>;
  readonly to: Incarnation;
}

async function createScene(
  t: Test,
  onFrame: OnFrame,
  greets = true,
): Promise<Scene> {
  const greet = (): Incarnation | null => (greets ? to : null);
  const server = await createScriptedServer(greet, onFrame);
  const to = createName('answerer', server.address);
  const peers = createPeers<Kinds>({
    self: () => SELF,
    schemas: SCHEMAS,
    clock: CLOCK,
    log: createSilentLogger(),
  });
  t.teardown(async () => {
    await peers.close();
    server.close();
  });
  return {peers, to};
}

function head(id: number): Frame {
  const answerHead = {status: 200, headers: [], body: EMPTY, whole: false};
  return {id, answerHead};
}

function whole(id: number, text: string): Frame {
  const body = Buffer.from(text);
  return {id, answerHead: {status: 200, headers: [], body, whole: true}};
}

function chunk(id: number, text: string, last: boolean): Frame {
  return {id, chunk: {bytes: Buffer.from(text), last}};
}

function failed(
  id: number,
  verdict: string,
  code: string,
  retryAfterMs: number,
): Frame {
  return {id, failure: {verdict, code, detail: 'why', retryAfterMs}};
}
