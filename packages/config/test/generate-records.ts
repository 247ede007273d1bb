import type {Incarnation} from '@banyandrum/base/ids.js';
import {encodeRecord} from '@banyandrum/config/codec.js';
import type {StateRecord} from '@banyandrum/config/records.js';

/** A small seeded generator (mulberry32), so that a failure can be run again. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A small inventory; `servers` is how many. */
export function inventoryToml(servers: number, shards = 8): string {
  const head = `
    [[places]]
    name = "vadaj"
    data_centre = "amd-1"
    [[services]]
    name = "holds"
    shards = ${shards}
    cells = 2
    checks_fences = true`;
  const entries = Array.from(
    {length: servers},
    (_, index) => `
    [[servers]]
    name = "holds-${index}"
    service = "holds"
    place = "vadaj"
    address = "127.0.0.1:${9_000 + index}"
    slots = 4
    connections = 55`,
  );
  return head + entries.join('');
}

export function incarnation(host: string, boot = 'b1'): Incarnation {
  return {host, address: '127.0.0.1:7000', boot, dataCentre: 'amd-1'};
}

/**
 * Records as several writers that know each other's state only in part would
 * append them: stale bases, repeats, conflicts, bytes that are no record.
 */
export function generateRecords(
  random: () => number,
  count: number,
): readonly Uint8Array[] {
  const pick = (limit: number): number => Math.floor(random() * limit);
  const records: Uint8Array[] = [];
  while (records.length < count) {
    records.push(generateRecord(pick, records.length + 1));
  }
  return records;
}

function generateRecord(
  pick: (limit: number) => number,
  offset: number,
): Uint8Array {
  const makers: readonly (() => Uint8Array)[] = [
    () => encodeRecord(publication(pick, offset)),
    () => encodeRecord(views(pick, offset)),
    () => encodeRecord(views(pick, offset)),
    () => encodeRecord(drain(pick)),
    () => encodeRecord(attestation(pick)),
    () => Buffer.from('{"format": 1, "id": "x", "record"'),
    () => Buffer.from('{"format":2,"id":"x","record":{"kind":"views"}}'),
    () => Buffer.from('{"format":1,"id":"x","record":{"kind":"later"}}'),
    () => Buffer.from('{"format":1,"id":"x","record":{"kind":"views"}}'),
  ];
  return makers[pick(makers.length)]!();
}

function change(pick: (limit: number) => number): {
  readonly changeId: string;
  readonly author: string;
  readonly reason: string;
  readonly at: string;
} {
  const changeId = `c${pick(200)}`;
  return {changeId, author: 'night-desk', reason: 'test', at: '2026-01-01'};
}

function publication(
  pick: (limit: number) => number,
  offset: number,
): StateRecord {
  return {
    kind: 'publication',
    ...change(pick),
    basedOn: pick(3) === 0 ? 0 : Math.max(0, offset - 1 - pick(12)),
    inventoryToml: pick(8) === 0 ? 'junk' : inventoryToml(pick(4)),
    rulesToml: '',
  };
}

function views(pick: (limit: number) => number, offset: number): StateRecord {
  const claims = Array.from({length: 1 + pick(3)}, () => ({
    cell: `holds/${pick(2)}`,
    previous: pick(3) === 0 ? 0 : Math.max(0, offset - 1 - pick(6)),
    leader: incarnation(`r${pick(3)}`),
    standby: pick(4) === 0 ? null : incarnation(`r${pick(3)}`),
    settled: pick(2) === 0,
  }));
  return {kind: 'views', claims};
}

function drain(pick: (limit: number) => number): StateRecord {
  const target = `holds-${pick(4)}`;
  return {kind: 'drain', ...change(pick), target, draining: pick(3) > 0};
}

function attestation(pick: (limit: number) => number): StateRecord {
  return {kind: 'attestation', ...change(pick), host: `r${pick(3)}`, boot: 'b'};
}
