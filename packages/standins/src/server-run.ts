import type {Clock} from '@banyandrum/base/clock.js';
import {createId} from '@banyandrum/base/ids.js';
import type {Stamp} from '@banyandrum/servers/client.js';
import type {ControlParts} from './server-control.js';
import type {BeliefRecord} from './server-beliefs.js';
import {createFaultSwitch} from './server-faults.js';
import {createServerLeases} from './server-lease.js';
import {createLoadReports} from './server-load.js';
import type {ServerStandinOptions} from './server-options.js';
import type {ExecutionRecord} from './server-record.js';
import type {RequestParts} from './server-requests.js';
import {createServiceTimes} from './server-service-time.js';
import {createServerSlots} from './server-slots.js';

/** One run of a server: all that is lost when its process ends. */
export interface ServerRun {
  readonly boot: string;
  readonly control: ControlParts;
  readonly requests: RequestParts;
}

/** How much slower a cold server is. */
const COLD_FACTOR = 4;

/**
 * Where a server's own clock starts, at most: unlike any other clock of the
 * process, so that a mix-up of clocks shows.
 */
const CLOCK_RANGE_MS = 1e6;

/** Starts a run: new boot id, no leases, empty slots, no faults. */
export function createServerRun(
  options: ServerStandinOptions,
  clock: Clock,
  record: ExecutionRecord,
  beliefs: BeliefRecord,
): ServerRun {
  const boot = createId();
  const stamp = createStamps(clock, boot, options.clockRate ?? 1);
  const faults = createFaultSwitch();
  const slots = createServerSlots(options.slots, options.queueLimit ?? 0);
  const rate = options.clockRate ?? 1;
  const leases = createServerLeases(options.checksFences, stamp, obeyed => {
    const leftMs = (obeyed.endsAt - stamp().ms) / rate;
    beliefs.begin({...obeyed, untilMs: clock.now() + leftMs});
  });
  const warmAt = clock.now() + (options.coldStartMs ?? 0);
  const isCold = (): boolean => clock.now() < warmAt;
  const draw = createServiceTimes(
    options.serviceMs ?? {kind: 'fixed', ms: 0},
    options.seed ?? 1,
  );
  const serviceMs = (): number =>
    draw() * faults.current().slowFactor * (isCold() ? COLD_FACTOR : 1);
  const load = createLoadReports({
    clock,
    faults,
    slots,
    slotCount: options.slots,
    isCold,
  });
  return {
    boot,
    control: {clock, leases, faults, load},
    requests: {
      service: options.service,
      clock,
      clockRate: options.clockRate ?? 1,
      stamp,
      leases,
      slots,
      record,
      faults,
      state: options.state ?? new Map(),
      serviceMs,
    },
  };
}

function createStamps(clock: Clock, boot: string, rate: number): () => Stamp {
  const startedAt = clock.now();
  const firstMs = Math.floor(Math.random() * CLOCK_RANGE_MS);
  return () => ({boot, ms: firstMs + (clock.now() - startedAt) * rate});
}
