import type {Clock} from '@banyandrum/base/clock.js';
import type {CellId, ShardId} from '@banyandrum/base/ids.js';
import type {CellLeader} from '@banyandrum/ownership/cell-leader.js';
import type {FakeServers} from './fake-servers.js';

/** Checks the leases that servers have, not what the leader assumes. */
export interface OwnershipChecker {
  readonly violations: ReadonlySet<string>;
  /** Checks that no shard is leased to two servers. */
  checkLeases(fakes: FakeServers): void;
  /**
   * Checks for each key that the leader would send to a server that no other
   * server has a lease for the key under any shard id, and that the deadline
   * doesn't exceed the server's lease.
   */
  checkLocations(led: LeaderUnderTest, fakes: FakeServers): void;
}

interface LeaderUnderTest {
  readonly leader: CellLeader;
}

/** Keys that are located at each step: several for each hash range. */
const KEYS = Array.from({length: 36}, (_, index) => `ward-${index}`);

export function createOwnershipChecker(
  cell: CellId,
  clock: Clock,
): OwnershipChecker {
  const violations = new Set<string>();

  const ownersOf = (fakes: FakeServers, shard: ShardId): readonly string[] =>
    [...fakes.servers.values()]
      .filter(server => server.activeLease(cell)?.shards.includes(shard))
      .map(({name}) => name);

  const checkKey = (
    led: LeaderUnderTest['leader']['led'],
    fakes: FakeServers,
    key: string,
  ): void => {
    const location = led.locate(key);
    if (location.kind !== 'owned') return;
    const {server, shard, leaseEnd} = location;
    const ids = new Set([shard, `k:${key}`]);
    for (const id of ids) {
      for (const owner of ownersOf(fakes, id)) {
        if (owner === server.name) continue;
        violations.add(
          `${clock.now()}: ${key} goes to ${server.name} under ${shard}, ` +
            `${owner} holds ${id}`,
        );
      }
    }
    const fake = fakes.get(server.name);
    const deadline = location.toServerTime(leaseEnd);
    if (deadline.boot !== fake.stamp().boot) return;
    if (deadline.ms <= fake.grantedUntil(cell, shard)) return;
    violations.add(
      `${clock.now()}: deadline at ${server.name} after its lease`,
    );
  };

  return {
    violations,
    checkLeases(fakes) {
      const seen = new Map<ShardId, string>();
      for (const server of fakes.servers.values()) {
        for (const shard of server.activeLease(cell)?.shards ?? []) {
          const other = seen.get(shard);
          if (other !== undefined) {
            violations.add(
              `${clock.now()}: ${other} and ${server.name} own ${shard}`,
            );
          }
          seen.set(shard, server.name);
        }
      }
    },
    checkLocations({leader}, fakes) {
      if (!leader.led.mayAct()) return;
      for (const key of KEYS) checkKey(leader.led, fakes, key);
    },
  };
}
