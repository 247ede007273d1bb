import tap from 'tap';
import {createCanceller, type Canceller} from '@banyandrum/base/cancel.js';

interface Case {
  readonly name: string;
  /** Calls `note` for each event that it observes. */
  readonly run: (canceller: Canceller, note: (text: string) => void) => void;
  /** The texts that `note` must be called with, in order. */
  readonly expected: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'listeners are called once each, in order',
    run({signal, abort}, note) {
      const first = (): void => note('first');
      signal.addEventListener('abort', first);
      signal.addEventListener('abort', () => note('second'));
      signal.addEventListener('abort', first);
      abort();
      abort();
    },
    expected: ['first', 'second'],
  },
  {
    name: 'aborted is set before the first listener is called',
    run({signal, abort}, note) {
      note(String(signal.aborted));
      signal.addEventListener('abort', () => note(String(signal.aborted)));
      abort();
    },
    expected: ['false', 'true'],
  },
  {
    name: 'a removed listener is left out, even if removed during abort',
    run({signal, abort}, note) {
      const early = (): void => note('early');
      const late = (): void => note('late');
      signal.addEventListener('abort', early);
      signal.addEventListener('abort', () => {
        note('remover');
        signal.removeEventListener('abort', late);
      });
      signal.addEventListener('abort', late);
      signal.removeEventListener('abort', early);
      abort();
    },
    expected: ['remover'],
  },
  {
    name: 'a listener that removes itself keeps none from being called',
    run({signal, abort}, note) {
      const once = (): void => {
        note('once');
        signal.removeEventListener('abort', once);
      };
      signal.addEventListener('abort', once);
      signal.addEventListener('abort', () => note('next'));
      abort();
    },
    expected: ['once', 'next'],
  },
  {
    name: 'abort within a listener',
    run({signal, abort}, note) {
      signal.addEventListener('abort', () => {
        note('first');
        abort();
      });
      signal.addEventListener('abort', () => note('second'));
      abort();
    },
    expected: ['first', 'second'],
  },
  {
    name: 'a listener added after abort is never called',
    run({signal, abort}, note) {
      abort();
      signal.addEventListener('abort', () => note('late'));
      abort();
      note(String(signal.aborted));
    },
    expected: ['true'],
  },
];

/** `AbortController` must pass the same tests. */
const IMPLEMENTATIONS: Readonly<Record<string, () => Canceller>> = {
  createCanceller,
  AbortController: () => {
    const controller = new AbortController();
    return {signal: controller.signal, abort: () => controller.abort()};
  },
};

for (const [implementation, create] of Object.entries(IMPLEMENTATIONS)) {
  for (const {name, run, expected} of CASES) {
    void tap.test(`${implementation}: ${name}`, async t => {
      const notes: string[] = [];
      run(create(), text => notes.push(text));
      t.same(notes, expected);
    });
  }

  // A listener throws while a request is cancelled. The other listeners must
  // still be called, since they release slots and streams, and the error must
  // reach the process as an uncaught exception instead of being swallowed.
  void tap.test(`${implementation}: an exception stops no other`, async t => {
    const thrown = new Promise<unknown>(resolve =>
      process.once('uncaughtException', resolve),
    );
    const {signal, abort} = create();
    let isCalled = false;
    signal.addEventListener('abort', () => {
      throw new Error('fault of a listener');
    });
    signal.addEventListener('abort', () => (isCalled = true));
    abort();
    t.equal(isCalled, true);
    t.match(await thrown, {message: 'fault of a listener'});
  });
}
