import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import type {OperatorActions} from './actions.js';
import type {WatchEvent} from './messages.js';
import type {ApiExchange} from './reply.js';
import {ALIVE_MS} from './timing.js';

const MAX_UNREAD_BYTES = 256 * 1024;

/**
 * Streams state changes as one JSON object a line, until the client goes, the
 * signal aborts or the events end.
 */
export async function streamEvents(
  {res}: ApiExchange,
  actions: OperatorActions,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  res.writeHead(200, {
    'content-type': 'application/x-ndjson',
    'cache-control': 'no-store',
  });
  res.flushHeaders();
  const ended = new AbortController();
  const stop = (): void => ended.abort();
  signal.addEventListener('abort', stop);
  res.once('close', stop);
  if (signal.aborted) stop();
  let last: WatchEvent | null = null;
  const write = (event: WatchEvent): void => {
    last = event;
    // A client that doesn't read may not fill this process's memory.
    if (res.writableLength > MAX_UNREAD_BYTES) res.destroy();
    else res.write(`${JSON.stringify(event)}\n`);
  };
  void repeat(clock, ended.signal, () => write(alive(last)));
  try {
    for await (const event of actions.watch(ended.signal)) {
      if (ended.signal.aborted) break;
      write(event);
    }
  } finally {
    signal.removeEventListener('abort', stop);
    stop();
    res.end();
  }
}

async function repeat(
  clock: Clock,
  signal: AbortSignal,
  task: () => void,
): Promise<void> {
  for (;;) {
    await sleep(clock, ALIVE_MS, signal);
    if (signal.aborted) return;
    task();
  }
}

function alive(last: WatchEvent | null): WatchEvent {
  const {offset, version} = last ?? {offset: 0, version: 0};
  const at = new Date().toISOString();
  return {kind: 'alive', at, offset, version, detail: ''};
}
