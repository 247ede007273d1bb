import type {Clock} from '@banyandrum/base/clock.js';
import {sleep} from '@banyandrum/base/clock.js';
import {versionOf} from '@banyandrum/config/fold.js';
import type {ClusterState} from '@banyandrum/config/state.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {WatchEvent} from '@banyandrum/operators/messages.js';

/** A sign of life goes out after this time without a change, in ms. */
const ALIVE_MS = 10_000;

/**
 * Yields an event for each kind of change that is read, until the signal
 * aborts. A slow reader gets several changes of one kind as one.
 *
 * @example
 * ```ts
 * for await (const event of watchState(store, clock, signal)) print(event);
 * ```
 */
export async function* watchState(
  store: StateStore,
  clock: Clock,
  signal: AbortSignal,
): AsyncGenerator<WatchEvent> {
  let seen = store.current();
  yield toEvent('start', seen, 'watching');
  while (!signal.aborted) {
    await nextChange(store, seen, clock, signal);
    if (signal.aborted) return;
    const state = store.current();
    const events = listChanges(seen, state);
    seen = state;
    if (events.length === 0) yield toEvent('alive', state, '');
    yield* events;
  }
}

async function nextChange(
  store: StateStore,
  seen: ClusterState,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const waking = new AbortController();
  const stop = store.subscribe(() => waking.abort());
  if (store.current() === seen) {
    await sleep(clock, ALIVE_MS, AbortSignal.any([signal, waking.signal]));
  }
  stop();
}

function listChanges(
  before: ClusterState,
  after: ClusterState,
): readonly WatchEvent[] {
  const events: WatchEvent[] = [];
  if (versionOf(before) !== versionOf(after)) {
    const {author, reason} = after.publication!;
    events.push(toEvent('publication', after, `${author}: ${reason}`));
  }
  for (const view of after.views.values()) {
    if (before.views.get(view.cell)?.epoch === view.epoch) continue;
    const standby = view.standby?.host ?? 'nobody';
    const detail = `${view.cell}: ${view.leader.host}, standby ${standby}`;
    events.push(toEvent('views', after, detail));
  }
  if (before.drains !== after.drains) {
    const names = [...after.drains].sort().join(', ');
    events.push(toEvent('drain', after, `draining: ${names || 'nothing'}`));
  }
  for (const entry of after.attestations.slice(before.attestations.length)) {
    events.push(toEvent('attestation', after, `${entry.host} is lost`));
  }
  return events;
}

function toEvent(
  kind: WatchEvent['kind'],
  state: ClusterState,
  detail: string,
): WatchEvent {
  const at = new Date().toISOString();
  return {kind, at, offset: state.next - 1, version: versionOf(state), detail};
}
