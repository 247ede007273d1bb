import {parseArgs} from 'node:util';
import {createId} from '@banyandrum/base/ids.js';
import {request} from 'undici';
import {startDeployment, type Deployment} from './deployment.js';
import {specOf} from './specs.js';

/*
 * Shows both deployments at work on loopback: a hold is recorded, the server
 * that owns its key is lost, and the key is served again.
 *
 *     npm run demo             serves until Ctrl-C
 *     npm run demo -- --once   stops after the tour
 */

const ROUTERS = 4;
const SETTLE_MS = 20_000;
const AGAIN_MS = 15_000;
const PAUSE_MS = 20;

const BOARD_KEY = 'ward-7';

async function main(): Promise<void> {
  const {values} = parseArgs({options: {once: {type: 'boolean'}}});
  say('starting stand-ins and routers of both deployments');
  const [board, coOperative] = await Promise.all([
    startDeployment(specOf('board', ROUTERS)),
    startDeployment(specOf('co-operative', ROUTERS)),
  ]);
  const stop = async (): Promise<void> => {
    say('stopping');
    await Promise.all([board.stop(), coOperative.stop()]);
  };
  try {
    await publish('board', board);
    await publish('co-operative', coOperative);
    await recordAssignment(coOperative);
    await showLoss(board);
  } catch (err) {
    await stop();
    throw err;
  }
  if (values.once) return stop();
  say('serving until Ctrl-C');
  process.once('SIGINT', () => void stop());
}

async function publish(name: string, deployment: Deployment): Promise<void> {
  await deployment.publish();
  await deployment.settled(SETTLE_MS);
  say(`${name}: inventory and rules in force, every shard has an owner`);
  for (const {host, callers, operators} of deployment.routers.values()) {
    say(`  ${host}: callers http://${callers}  operators http://${operators}`);
  }
  say(`  operators' token: ${deployment.token}`);
}

async function recordAssignment(deployment: Deployment): Promise<void> {
  const answer = await call(deployment, 'assignments/claim-1042', 'POST');
  say(`co-operative: POST assignments/claim-1042: ${answer.text}`);
}

/** Records a hold, loses its key's owner, and waits for the next owner. */
async function showLoss(deployment: Deployment): Promise<void> {
  const target = `holds/${BOARD_KEY}`;
  const hold = await call(deployment, target, 'POST');
  if (hold.status !== 201) throw new Error(`no hold: ${hold.text}`);
  say(`board: POST ${target}: ${hold.text}`);
  const owner = await ownerOf(deployment);
  say(`board: ${BOARD_KEY} is owned by ${owner}; that server is lost now`);
  await loseServer(deployment, owner);
  const lostAt = performance.now();
  for (;;) {
    const answer = await call(deployment, target, 'GET');
    const waited = Math.round(performance.now() - lostAt);
    if (answer.status === 200) {
      say(`board: GET ${target}: ${answer.text}`);
      say(
        `board: served again by ${await ownerOf(deployment)} in ${waited} ms`,
      );
      return;
    }
    if (waited > AGAIN_MS) throw new Error(`not served again: ${answer.text}`);
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
  }
}

interface Answer {
  readonly status: number;
  readonly text: string;
}

async function call(
  deployment: Deployment,
  target: string,
  method: 'GET' | 'POST',
): Promise<Answer> {
  const [router] = deployment.routers.values();
  const res = await request(`http://${router!.callers}/v1/${target}`, {
    method,
    body: method === 'POST' ? `{"request":"${createId()}"}` : null,
  });
  return {status: res.statusCode, text: await res.body.text()};
}

async function ownerOf(deployment: Deployment): Promise<string> {
  const [host] = deployment.routers.keys();
  const client = deployment.operatorsOf(host!);
  const explained = await client.explain('holds', BOARD_KEY);
  await client.close();
  return explained.ok ? (explained.val.owner ?? 'nobody') : 'nobody';
}

async function loseServer(deployment: Deployment, name: string): Promise<void> {
  const server = deployment.servers.find(entry => entry.name === name);
  if (server === undefined) throw new Error(`no server ${name}`);
  const res = await request(`http://${server.address}/standin/faults`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({die: true}),
  });
  await res.body.dump();
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
