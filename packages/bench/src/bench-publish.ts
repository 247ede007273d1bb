import {createId} from '@banyandrum/base/ids.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import type {PublicationMessage} from '@banyandrum/operators/messages.js';
import {formatTable} from './bench-table.js';
import type {Deployment} from './deployment.js';
import {percentile} from './stats.js';

const PUBLICATIONS = 30;
const POLL_MS = 10;
const LIMIT_MS = 10_000;

/** Prints how long publications take until they are in force everywhere. */
export async function measurePublish(deployment: Deployment): Promise<void> {
  const clients = [...deployment.routers.keys()].map(deployment.operatorsOf);
  const answers: number[] = [];
  const each: number[] = [];
  const all: number[] = [];
  for (let turn = 0; turn < PUBLICATIONS; turn++) {
    const startMs = performance.now();
    const version = await publishAgain(clients[turn % clients.length]!, turn);
    const answeredMs = performance.now();
    const took = await Promise.all(
      clients.map(async client => {
        await waitForVersion(client, version);
        return performance.now() - answeredMs;
      }),
    );
    answers.push(answeredMs - startMs);
    each.push(...took);
    all.push(Math.max(...took));
  }
  await Promise.all(clients.map(client => client.close()));
  const table = formatTable([
    rowOf('publish to its answer', answers),
    rowOf('answer to in force, each router', each),
    rowOf('answer to in force, all routers', all),
  ]);
  process.stdout.write(
    `\n${PUBLICATIONS} publications on ${clients.length} routers, ` +
      `asked every ${POLL_MS} ms\n${table}\n`,
  );
}

async function publishAgain(
  client: OperatorsClient,
  turn: number,
): Promise<number> {
  const {version, inventoryToml, rulesToml} = await inForce(client);
  const published = await client.publish({
    changeId: createId(),
    basedOn: version,
    reason: `publication ${turn}`,
    inventoryToml,
    rulesToml,
  });
  if (published.err) throw new Error(published.val.detail);
  return published.val.offset;
}

async function inForce(client: OperatorsClient): Promise<PublicationMessage> {
  const publication = await client.publication();
  if (publication.err) throw new Error(publication.val.detail);
  return publication.val;
}

async function waitForVersion(
  client: OperatorsClient,
  version: number,
): Promise<void> {
  const end = performance.now() + LIMIT_MS;
  while (performance.now() < end) {
    const state = await client.state();
    if (state.ok && state.val.version >= version) return;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`version ${version} not in force after ${LIMIT_MS} ms`);
}

function rowOf(
  step: string,
  times: readonly number[],
): Readonly<Record<string, string | number>> {
  return {
    step,
    'p50 ms': percentile(times, 0.5),
    'p90 ms': percentile(times, 0.9),
    'p99 ms': percentile(times, 0.99),
    'max ms': Math.max(...times),
  };
}
