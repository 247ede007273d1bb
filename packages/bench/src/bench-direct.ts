import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createId} from '@banyandrum/base/ids.js';
import * as names from '@banyandrum/servers/headers.js';
import {leaseAckSchema} from '@banyandrum/servers/schemas.js';
import {request} from 'undici';
import {z} from 'zod';
import {startChild} from './child.js';
import type {ServiceSpec} from './deployment.js';

/** A stand-in server that is asked without a router. */
export interface DirectServers {
  readonly addresses: readonly string[];
  /** What a router would add to each request. */
  readonly headers: Readonly<Record<string, string>>;
  stop(): Promise<void>;
}

const RUN_SERVERS = fileURLToPath(
  import.meta.resolve('@banyandrum/standins/run-servers.js'),
);
const CELL = 'bench';
const SHARD = 'bench';
const FENCE = {epoch: 1, sequence: 1};
/** Longer than any run of the benchmark. */
const LEASE_MS = 600_000;
/** No router bounds what is in flight, so that a burst must queue. */
const QUEUE_LIMIT = 10_000;

const serversHello = z.object({
  servers: z.array(z.object({address: z.string()})),
});

/**
 * Starts a stand-in server with all the slots of the service and gives it a
 * lease, so that requests come to it without a router. One server, since a
 * deadline is told on the clock of the server that a request goes to.
 *
 * @example
 * ```ts
 * const direct = await startDirect(service);
 * await direct.stop();
 * ```
 */
export async function startDirect(
  service: ServiceSpec,
): Promise<DirectServers> {
  const folder = await mkdtemp(join(tmpdir(), 'banyandrum-bench-'));
  const path = join(folder, 'servers.json');
  const group = {
    service: service.name,
    count: 1,
    slots: service.slots * service.servers,
    checksFences: service.checksFences,
    serviceMs: {kind: 'fixed', ms: service.serviceMs},
    queueLimit: QUEUE_LIMIT,
  };
  await writeFile(path, JSON.stringify({groups: [group]}));
  const child = await startChild({name: 'servers', args: [RUN_SERVERS, path]});
  const {servers} = serversHello.parse(child.hello);
  const {address} = servers[0]!;
  const {boot, ms} = await grant(address);
  const deadline = `${boot}.${Math.floor(ms + LEASE_MS)}`;
  return {
    addresses: [address],
    headers: {
      [names.REQUEST_ID]: createId(),
      [names.CELL]: CELL,
      [names.SHARD]: SHARD,
      [names.FENCE]: `${FENCE.epoch}.${FENCE.sequence}`,
      [names.DEADLINE]: deadline,
      [names.START_BY]: deadline,
    },
    async stop() {
      child.signal('SIGTERM');
      await child.exited;
      await rm(folder, {recursive: true});
    },
  };
}

type Stamp = z.infer<typeof leaseAckSchema>['stamp'];

/** Asks for the server's stamp, then grants a lease that counts from it. */
async function grant(address: string): Promise<Stamp> {
  const {stamp} = await order(address, null);
  const ack = await order(address, stamp);
  if (ack.shards.includes(SHARD)) return stamp;
  throw new Error('the stand-in server took no lease');
}

async function order(
  address: string,
  echo: Stamp | null,
): Promise<z.infer<typeof leaseAckSchema>> {
  const message = {cell: CELL, fence: FENCE, ttlMs: LEASE_MS, echo};
  const res = await request(`http://${address}${names.LEASE_PATH}`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({...message, shards: [SHARD]}),
  });
  return leaseAckSchema.parse(await res.body.json());
}
