import type {Failure} from '@banyandrum/base/failure.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import type {Frame} from '@banyandrum/routers/frames.js';
import {MAX_MESSAGE_BYTES, WINDOW_BYTES} from '@banyandrum/routers/limits.js';
import {createPeers, type Peers} from '@banyandrum/routers/peers.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import tap from 'tap';
import {createName, outcome, SCHEMAS, SELF, type Kinds} from './kit.js';
import {createScriptedServer, helloOf, type Script} from './script.js';

interface Case {
  readonly title: string;
  /** What the other router does with the request's head. */
  readonly act: (id: number, script: Script) => void;
  /** The body that the caller gets, or how it fails. */
  readonly expected: string | Partial<Failure>;
}

const EMPTY = Buffer.alloc(0);
const LOST = {verdict: 'may-have-run', code: 'connection-lost'} as const;
const CUT = {verdict: 'ran', code: 'truncated'} as const;

// The caller of one request gets either the whole answer that belongs to it
// or an honest verdict, whatever the other router writes: wrong order, other
// ids, cut streams, junk. Before an answer's head it may have run; after it,
// it ran and the body throws, so that a cut answer never looks whole.
const CASES: readonly Case[] = [
  {
    title: 'whole answer',
    act: (id, script) => script.write(whole(id, 'mine')),
    expected: 'mine',
  },
  {
    title: 'answers to other ids come first',
    act: (id, script) =>
      script.write(
        whole(id + 1, 'later'),
        whole(0, 'none'),
        chunk(id + 7, 'x', true),
        whole(id, 'mine'),
      ),
    expected: 'mine',
  },
  {
    title: 'a second answer after the first',
    act: (id, script) => script.write(whole(id, 'mine'), whole(id, 'other')),
    expected: 'mine',
  },
  {
    title: 'chunks',
    act: (id, script) =>
      script.write(head(id), chunk(id, 'mi', false), chunk(id, 'ne', true)),
    expected: 'mine',
  },
  {
    title: 'stream ended without an answer',
    act: (_, script) => script.end(),
    expected: LOST,
  },
  {
    title: 'stream ended within the answer',
    act: (id, script) => {
      script.write(head(id), chunk(id, 'mi', false));
      script.end();
    },
    expected: CUT,
  },
  {
    title: 'failure within the answer',
    act: (id, script) =>
      script.write(
        head(id),
        chunk(id, 'mi', false),
        failed(id, 'ran', 'truncated', -1),
      ),
    expected: CUT,
  },
  {
    title: 'failure passes as it is',
    act: (id, script) => script.write(failed(id, 'not-run', 'moved', 40)),
    expected: {verdict: 'not-run', code: 'moved', retryAfterMs: 40},
  },
  {
    title: 'failure of unknown words',
    act: (id, script) => script.write(failed(id, 'toString', 'x', -1)),
    expected: {verdict: 'may-have-run', code: 'internal'},
  },
  {
    title: 'second head of an answer',
    act: (id, script) => script.write(head(id), head(id)),
    expected: CUT,
  },
  {
    title: 'chunk before its head',
    act: (id, script) => script.write(chunk(id, 'mine', true)),
    expected: LOST,
  },
  {
    title: 'more than the window',
    act: (id, script) =>
      script.write(head(id), chunk(id, 'x'.repeat(WINDOW_BYTES + 1), true)),
    expected: CUT,
  },
  {
    title: 'junk',
    act: (_, script) => script.writeBytes(Buffer.from('junk\xff\xff')),
    expected: LOST,
  },
  {
    title: 'empty message',
    act: (_, script) => script.writeBytes(EMPTY),
    expected: LOST,
  },
  {
    title: 'oversize message',
    act: (id, script) =>
      script.write(whole(id, 'x'.repeat(MAX_MESSAGE_BYTES + 1))),
    expected: LOST,
  },
  {
    title: 'frame of the wrong side',
    act: (id, script) => script.write({id, cancel: {}}),
    expected: LOST,
  },
];

for (const {title, act, expected} of CASES) {
  void tap.test(`answer: ${title}`, async t => {
    const server = await createScriptedServer(
      () => to,
      (frame, script) => {
        if (frame.requestHead) act(frame.id, script);
      },
    );
    const to = createName('answerer', server.address);
    const peers = createAsker();
    t.teardown(() => peers.close());
    t.teardown(() => server.close());
    t.match(await outcome(peers, CLOCK, to), expected);
  });
}

// A router that doesn't greet as agreed gets no request: the caller hears
// that nothing was delivered, and the greeting's fault is named.
const GREETINGS: readonly {
  readonly title: string;
  readonly greet: (script: Script) => void;
  readonly kind: string;
}[] = [
  {
    title: 'without a name',
    greet: script => script.write(helloOf(createName('', ''))),
    kind: 'invalid',
  },
  {
    title: 'junk',
    greet: script => script.writeBytes(Buffer.from('junk\xff\xff')),
    kind: 'invalid',
  },
  {
    title: 'another frame first',
    greet: script => script.write(whole(1, 'early')),
    kind: 'invalid',
  },
  {title: 'end', greet: script => script.end(), kind: 'unreachable'},
];

for (const {title, greet, kind} of GREETINGS) {
  void tap.test(`greeting: ${title}`, async t => {
    const seen: Frame[] = [];
    const server = await createScriptedServer(
      () => null,
      (frame, script) => {
        seen.push(frame);
        greet(script);
      },
    );
    const to = createName('answerer', server.address);
    const peers = createAsker();
    t.teardown(() => peers.close());
    t.teardown(() => server.close());
    const asked = await peers.ask(to, 'add', {a: 1, b: 2}, 60_000);
    t.match(asked.val, {kind});
    t.match(await outcome(peers, CLOCK, to), {verdict: 'not-run'});
    t.notOk(seen.some(frame => frame.requestHead ?? frame.controlAsk));
  });
}

// The caller gives up (or its time is over) and is answered at once; the
// answer that comes later must not reach the next caller on the same stream.
for (const how of ['abort', 'deadline'] as const) {
  void tap.test(`late answer after ${how}`, async t => {
    const caller = new AbortController();
    const giveUp = (): void => {
      if (how === 'abort') caller.abort();
      else void CLOCK.advance(500);
    };
    const server = await createScriptedServer(
      () => to,
      ({id, requestHead, cancel}, script) => {
        if (requestHead?.key === 'late') giveUp();
        if (cancel) script.write(whole(id, 'for the first'));
        if (requestHead?.key === 'next') script.write(whole(id, 'mine'));
      },
    );
    const to = createName('answerer', server.address);
    const peers = createAsker();
    t.teardown(() => peers.close());
    t.teardown(() => server.close());
    const code = how === 'abort' ? 'cancelled' : 'deadline';
    const deadline = CLOCK.now() + 500;
    const {signal} = caller;
    const fields = {key: 'late', signal, deadline};
    const first = await outcome(peers, CLOCK, to, fields);
    t.match(first, {verdict: 'may-have-run', code});
    t.equal(await outcome(peers, CLOCK, to, {key: 'next'}), 'mine');
  });
}

const CLOCK = createManualClock();

function createAsker(): Peers<Kinds> {
  return createPeers<Kinds>({
    self: () => SELF,
    schemas: SCHEMAS,
    clock: CLOCK,
    log: createSilentLogger(),
  });
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
