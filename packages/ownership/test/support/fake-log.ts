import type {Offset} from '@banyandrum/base/ids.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {sleep} from '@banyandrum/base/clock.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import {applyRecord} from '@banyandrum/config/fold.js';
import {decodeState} from '@banyandrum/config/snapshot.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {Appended, StateStore} from '@banyandrum/config/store.js';
import type {LogError} from '@banyandrum/log/client.js';
import type {Network} from './network.js';
import type {FakeProcess} from './process.js';

export const LOG = 'log';

/** The records of the fake log; a record's offset is its index plus one. */
export type FakeLog = Uint8Array[];

/** Faults that the log applies to the next requests. */
export interface LogFaults {
  /** Refuses requests, so that appends are known not to be applied. */
  refuses: boolean;
  /** Applies appends but loses the replies. */
  losesReplies: boolean;
  /** Called at the moment when an append of a host takes effect. */
  onAppend: (host: string) => void;
  /** Additional delay of an append before it arrives, in ms. */
  appendDelay: () => number;
}

const POLL_MS = 100;
const REPLY_MS = 1000;

/** Creates a process's store, which reads the fake log over the network. */
export function createFakeStore(
  process: FakeProcess,
  network: Network,
  log: FakeLog,
  faults: LogFaults,
  initial: ClusterState,
): StateStore {
  const {clock} = process;
  const host = process.incarnation.host;
  const listeners = new Set<(state: ClusterState) => void>();
  let state = initial;
  let confirmedAt = -Infinity;

  const accept = (records: readonly Uint8Array[], sentAt: number): void => {
    confirmedAt = Math.max(confirmedAt, sentAt);
    const before = state;
    for (let offset = state.next; offset <= records.length; offset++) {
      state = applyRecord(state, offset, records[offset - 1] as Uint8Array);
    }
    if (state === before) return;
    for (const listener of listeners) listener(state);
  };

  const poll = (): void => {
    const sentAt = clock.now();
    network.send(host, LOG, () => {
      if (faults.refuses) return;
      const seen = [...log];
      network.send(LOG, host, () =>
        process.deliver(() => accept(seen, sentAt)),
      );
    });
  };

  const run = async (): Promise<void> => {
    while (process.isAlive()) {
      poll();
      await sleep(clock, POLL_MS);
    }
  };
  void run();

  const send = (record: Uint8Array): Promise<Offset | 'refused' | 'silent'> =>
    new Promise(resolve => {
      clock.after(REPLY_MS, () => resolve('silent'));
      const apply = (): void => {
        const reply = faults.refuses ? 'refused' : log.push(record);
        if (reply !== 'refused') faults.onAppend(host);
        if (faults.losesReplies) return;
        network.send(LOG, host, () => process.deliver(() => resolve(reply)));
      };
      network.send(host, LOG, () => {
        const delay = faults.appendDelay();
        if (delay === 0) apply();
        else network.delay(delay, apply);
      });
    });

  const readBack = async (
    record: Uint8Array,
  ): Promise<Result<Appended, LogError>> => {
    const deadline = clock.now() + REPLY_MS;
    while (clock.now() < deadline) {
      const offset = log.indexOf(record) + 1;
      if (offset > 0 && state.next > offset) return Ok({offset, state});
      poll();
      await sleep(clock, 10);
    }
    return Err({kind: 'unknown', detail: 'not read back'});
  };

  return {
    current: () => state,
    confirmedAt: () => confirmedAt,
    subscribe(listener) {
      listeners.add(listener);
      return () => void listeners.delete(listener);
    },
    async append(wanted) {
      const record = encodeRecord(wanted);
      const reply = await send(record);
      if (reply === 'refused') return Err({kind: 'unavailable', detail: reply});
      return readBack(record);
    },
    adopt(encoded) {
      const newer = decodeState(encoded);
      if (newer === null || newer.next <= state.next) return false;
      state = newer;
      for (const listener of listeners) listener(state);
      return true;
    },
    close: () => Promise.resolve(),
  };
}
