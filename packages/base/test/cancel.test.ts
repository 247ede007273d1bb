import tap from 'tap';
import {createCanceller, type Canceller} from '@banyandrum/base/cancel.js';

interface Case {
  readonly name: string;
  /** Calls `note` in the order that is expected. */
  readonly run: (canceller: Canceller, note: (text: string) => void) => void;
  readonly expected: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'listeners in their order, each once',
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
    name: 'aborted before the first listener is called',
    run({signal, abort}, note) {
      note(String(signal.aborted));
      signal.addEventListener('abort', () => note(String(signal.aborted)));
      abort();
    },
    expected: ['false', 'true'],
  },
  {
    name: 'a removed listener is left out, also meanwhile',
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
    name: 'a listener that removes itself keeps none from its call',
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
    name: 'a listener that comes too late is never called',
    run({signal, abort}, note) {
      abort();
      signal.addEventListener('abort', () => note('late'));
      abort();
      note(String(signal.aborted));
    },
    expected: ['true'],
  },
];

const MAKERS: Readonly<Record<string, () => Canceller>> = {
  createCanceller,
  AbortController: () => {
    const controller = new AbortController();
    return {signal: controller.signal, abort: () => controller.abort()};
  },
};

for (const [maker, create] of Object.entries(MAKERS)) {
  for (const {name, run, expected} of CASES) {
    void tap.test(`${maker}: ${name}`, async t => {
      const notes: string[] = [];
      run(create(), text => notes.push(text));
      t.same(notes, expected);
    });
  }

  // One part of a request fails while it is given up. The others must still
  // hear of it, else a slot or a stream stays taken; and the fault must not
  // be swallowed: it reaches the process as an uncaught exception.
  void tap.test(`${maker}: an exception stops no other`, async t => {
    const thrown = new Promise<unknown>(resolve =>
      process.once('uncaughtException', resolve),
    );
    const {signal, abort} = create();
    let heard = false;
    signal.addEventListener('abort', () => {
      throw new Error('fault of a listener');
    });
    signal.addEventListener('abort', () => (heard = true));
    abort();
    t.equal(heard, true);
    t.match(await thrown, {message: 'fault of a listener'});
  });
}
