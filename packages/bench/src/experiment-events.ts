import type {Clock} from '@banyandrum/base/clock.js';
import type {ExperimentCell} from './experiment-cell.js';
import {drawExponential, type Random} from './experiment-random.js';
import type {Scenario, ScenarioEvent} from './experiment-scenario.js';
import type {SimulatedServers} from './experiment-servers.js';

export interface EventsOptions {
  readonly scenario: Scenario;
  readonly clock: Clock;
  readonly random: Random;
  readonly servers: SimulatedServers;
  readonly cell: ExperimentCell;
  readonly drains: Set<string>;
  /** Adds a server to the inventory. */
  readonly join: (name: string) => void;
  readonly startMs: number;
  readonly untilMs: number;
}

type EventHandler = (event: ScenarioEvent, options: EventsOptions) => void;

const HANDLERS: Readonly<Record<ScenarioEvent['kind'], EventHandler>> = {
  join: ({server}, {join}) => join(server),
  leave: ({server}, {drains}) => void drains.add(server),
  die: ({server}, {servers}) => servers.get(server).die(),
  restart: ({server}, {servers}) => servers.get(server).restart(),
  slow({server, factor}, {servers}) {
    servers.get(server).slowness = factor;
  },
  stall: ({server, for_ms}, {servers}) => servers.get(server).stall(for_ms),
  lie({server, factor}, {servers}) {
    const {slots} = servers.get(server);
    const busy = Math.round(slots * factor);
    const health = factor > 1 ? 'shedding' : 'ok';
    servers.get(server).lie = {health, busy, slots, queued: busy * 10};
  },
  'change-leader': (_, {cell}) => void cell.changeLeader(),
};

const MINUTE_MS = 60_000;

/**
 * Lets the scenario's events happen at their times, and stalls servers at
 * random as a busy machine does.
 *
 * @example
 * ```ts
 * startEvents(options);
 * await clock.run(60_000);
 * ```
 */
export function startEvents(options: EventsOptions): void {
  const {scenario, clock, servers} = options;
  for (const event of scenario.events) {
    clock.after(event.at_s * 1000, () => HANDLERS[event.kind](event, options));
  }
  if (scenario.stalls_per_minute === 0) return;
  for (const {name} of servers.all()) stallAtRandom(name, options);
}

function stallAtRandom(name: string, options: EventsOptions): void {
  const {scenario, clock, random, servers, untilMs} = options;
  const gapMs = drawExponential(random, MINUTE_MS / scenario.stalls_per_minute);
  if (clock.now() + gapMs > untilMs) return;
  clock.after(gapMs, () => {
    servers.get(name).stall(drawExponential(random, scenario.stall_ms));
    stallAtRandom(name, options);
  });
}
