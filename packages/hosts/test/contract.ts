import type {Clock} from '@banyandrum/base/clock.js';
import type {Host, HostListClient} from '@banyandrum/hosts/client.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';
import type {TAP} from 'tap';

/** Faults of the platform, or of a proxy in front of it. */
export const HOST_LIST_FAULTS = [
  'refuse',
  'hang',
  'reset',
  'junk',
  'wrong-shape',
  'twice',
  'cut',
  'oversize',
  'failed',
] as const;
export type HostListContractFault = (typeof HOST_LIST_FAULTS)[number];

/** A host list whose content the contract tests can set. */
export interface HostListContractTarget {
  /** Creates a client with timeouts of `TIMEOUT_MS` on the given clock. */
  createClient(clock: Clock): HostListClient;
  /** Replaces the list; resolves once clients can read it. */
  fill(hosts: readonly Host[]): Promise<void>;
  induce(fault: HostListContractFault): Promise<void>;
  heal(): Promise<void>;
  close(): Promise<void>;
}

export const TIMEOUT_MS = 1000;

const HOSTS: readonly Host[] = [
  {
    name: 'router-1',
    role: 'router',
    address: '127.0.0.1:7000',
    dataCentre: 'vadaj',
    state: 'live',
  },
  {
    name: 'server-1',
    role: 'server',
    address: '127.0.0.1:7001',
    dataCentre: 'naroda',
    state: 'leaving',
  },
];

/**
 * Runs the contract tests of the host list against one client.
 *
 * @example
 * ```ts
 * runHostListContract(tap, 'stand-in', createTarget);
 * ```
 */
export function runHostListContract(
  root: TAP,
  name: string,
  createTarget: () => Promise<HostListContractTarget>,
): void {
  void root.test(`${name}: the list is returned as it was set`, async t => {
    const target = await createTarget();
    const client = target.createClient(createManualClock());
    t.teardown(() => Promise.all([client.close(), target.close()]));
    for (const hosts of [[], HOSTS, HOSTS.slice(1)]) {
      await target.fill(hosts);
      t.same((await client.list()).unwrap(), hosts);
    }
    t.equal((await client.list(AbortSignal.abort())).ok, false);
  });

  for (const fault of HOST_LIST_FAULTS) {
    // Guards against a list with missing hosts, which would appear to have
    // left: the client reports an error in bounded time, and then recovers.
    void root.test(`${name}: an error while ${fault}`, async t => {
      const target = await createTarget();
      const clock = createManualClock();
      const client = target.createClient(clock);
      t.teardown(() => Promise.all([client.close(), target.close()]));
      await target.fill(HOSTS);
      await target.induce(fault);
      const listing = client.list();
      if (fault === 'hang') await clock.advance(TIMEOUT_MS);
      t.equal((await listing).ok, false);
      await target.heal();
      t.same((await client.list()).unwrap(), HOSTS);
    });
  }
}
