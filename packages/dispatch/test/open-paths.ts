import {createClock, type Clock} from '@banyandrum/base/clock.js';
import {NO_CARRIERS} from '@banyandrum/dispatch/carriers.js';
import type {SendConfig} from '@banyandrum/dispatch/send-attempt.js';
import {createServerPaths} from '@banyandrum/dispatch/server-paths.js';

/** For a router that reaches all servers, and has no other router to ask. */
export function openPaths(
  clock: Clock = createClock(),
): Pick<SendConfig, 'paths' | 'carriers'> {
  const paths = createServerPaths({
    ...{clock, emit: () => undefined, backendOf: () => undefined},
    probe: async () => 'open',
  });
  return {paths, carriers: NO_CARRIERS};
}
