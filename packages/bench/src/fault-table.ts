import {request} from 'undici';
import {createId} from '@banyandrum/base/ids.js';
import type {Deployment, RouterProcess} from './deployment.js';

/** What a fault works on. */
export interface FaultContext {
  readonly deployment: Deployment;
  /** The cell whose leader, standby or servers the fault concerns. */
  readonly cell: string;
  /** Which of several like servers, so that runs differ. */
  readonly turn: number;
  /** Hosts that the balancer no longer sends callers to. */
  readonly avoided: Set<string>;
}

/** One fault: how it begins, how long it lasts, how it is put right. */
export interface Fault {
  readonly name: string;
  readonly kind: 'loss' | 'planned' | 'outage' | 'double';
  /** Time from its begin until it is put right, in ms. */
  readonly lastsMs: number;
  begin(ctx: FaultContext): Promise<Undo>;
}

/** Puts a fault right. */
export type Undo = () => Promise<void>;

interface Roles {
  readonly leader: RouterProcess;
  readonly standby: RouterProcess;
}

const LOSS_MS = 6_000;
const PAUSE_MS = 10_000;
const READY_MS = 10_000;

/** The faults, by name. */
export const FAULTS: readonly Fault[] = [
  loss('server lost', async ctx => loseServer(ctx)),
  loss('server frozen 10 s and back', freezeServer, PAUSE_MS),
  loss('server unreachable', cutServer),
  loss('leader lost', async ctx => loseRouter(ctx, (await roles(ctx)).leader)),
  loss('standby lost', async ctx =>
    loseRouter(ctx, (await roles(ctx)).standby),
  ),
  loss('leader paused 10 s and back', pauseLeader, PAUSE_MS),
  loss('leader split from the log', async ctx => {
    const {leader} = await roles(ctx);
    return cut([ctx.deployment.relays.logs.get(leader.host)!]);
  }),
  loss('leader deaf to routers', async ctx => {
    const {leader} = await roles(ctx);
    return cut([ctx.deployment.relays.peers.get(leader.host)!]);
  }),
  loss('leader split from its standby', async ctx => {
    const {standby} = await roles(ctx);
    return cut([ctx.deployment.relays.peers.get(standby.host)!]);
  }),
  {
    name: 'log down',
    kind: 'outage',
    lastsMs: PAUSE_MS,
    begin: async ctx => logDown(ctx),
  },
  double('log down and a server lost', async ctx => {
    const undoLog = await logDown(ctx);
    const undoServer = await loseServer(ctx);
    return inTurn(undoLog, undoServer);
  }),
  double('leader and server lost', async ctx => {
    const undoServer = await loseServer(ctx);
    const undoLeader = await loseRouter(ctx, (await roles(ctx)).leader);
    return inTurn(undoServer, undoLeader);
  }),
  double('log down and leader lost', async ctx => {
    const {leader} = await roles(ctx);
    const undoLog = await logDown(ctx);
    const undoLeader = await loseRouter(ctx, leader);
    return inTurn(undoLog, undoLeader);
  }),
  planned('leader stopped', stopLeader),
  planned('server drained', drainServer),
  planned('rolling restart of all routers', restartAll),
];

function loss(
  name: string,
  begin: Fault['begin'],
  lastsMs: number = LOSS_MS,
): Fault {
  return {name, kind: 'loss', lastsMs, begin};
}

function double(name: string, begin: Fault['begin']): Fault {
  return {name, kind: 'double', lastsMs: LOSS_MS, begin};
}

function planned(name: string, begin: Fault['begin']): Fault {
  return {name, kind: 'planned', lastsMs: LOSS_MS, begin};
}

function inTurn(...undos: readonly Undo[]): Undo {
  return async () => {
    for (const undo of undos) await undo();
  };
}

async function roles({deployment, cell}: FaultContext): Promise<Roles> {
  const [host] = deployment.routers.keys();
  const client = deployment.operatorsOf(host!);
  const status = await client.status();
  await client.close();
  if (status.err) throw new Error(status.val.detail);
  const found = status.val.cells.find(entry => entry.cell === cell);
  const leader = deployment.routers.get(found?.leader ?? '');
  const standby = deployment.routers.get(found?.standby ?? '');
  if (leader === undefined || standby === undefined) {
    throw new Error(`${cell} lacks a leader or a standby`);
  }
  return {leader, standby};
}

function serverOf({deployment, cell, turn}: FaultContext): {
  readonly name: string;
  readonly address: string;
} {
  const service = cell.slice(0, cell.indexOf('/'));
  const servers = deployment.servers.filter(entry => entry.service === service);
  return servers[turn % servers.length]!;
}

async function setFaults(address: string, faults: object): Promise<void> {
  const res = await request(`http://${address}/standin/faults`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(faults),
  });
  await res.body.dump();
}

async function loseServer(ctx: FaultContext): Promise<Undo> {
  const {address} = serverOf(ctx);
  const restartAfterMs = LOSS_MS - 500;
  await setFaults(address, {die: true, restartAfterMs});
  return async () => {};
}

async function freezeServer(ctx: FaultContext): Promise<Undo> {
  const {address} = serverOf(ctx);
  await setFaults(address, {frozen: true});
  return () => setFaults(address, {frozen: false});
}

async function cutServer(ctx: FaultContext): Promise<Undo> {
  const {name} = serverOf(ctx);
  return cut([ctx.deployment.relays.servers.get(name)!]);
}

async function cut(
  relays: readonly {cut(): void; mend(): void}[],
): Promise<Undo> {
  for (const relay of relays) relay.cut();
  return async () => {
    for (const relay of relays) relay.mend();
  };
}

async function loseRouter(
  {deployment, avoided}: FaultContext,
  {host}: RouterProcess,
): Promise<Undo> {
  avoided.add(host);
  await deployment.endRouter(host, 'SIGKILL');
  return async () => {
    await deployment.startRouter(host);
    avoided.delete(host);
  };
}

async function pauseLeader(ctx: FaultContext): Promise<Undo> {
  const {leader} = await roles(ctx);
  ctx.avoided.add(leader.host);
  leader.child.signal('SIGSTOP');
  return async () => {
    leader.child.signal('SIGCONT');
    ctx.avoided.delete(leader.host);
  };
}

async function stopLeader(ctx: FaultContext): Promise<Undo> {
  const {deployment, avoided} = ctx;
  const {leader} = await roles(ctx);
  avoided.add(leader.host);
  await deployment.endRouter(leader.host, 'SIGTERM');
  return async () => {
    await deployment.startRouter(leader.host);
    avoided.delete(leader.host);
  };
}

async function restartAll({deployment, avoided}: FaultContext): Promise<Undo> {
  for (const host of [...deployment.routers.keys()]) {
    avoided.add(host);
    await deployment.endRouter(host, 'SIGTERM');
    await deployment.startRouter(host);
    await deployment.ready(host, READY_MS);
    avoided.delete(host);
  }
  return async () => {};
}

async function logDown({deployment}: FaultContext): Promise<Undo> {
  await setFaults(deployment.logControl, {down: 'refuse'});
  return () => setFaults(deployment.logControl, {down: 'none'});
}

async function drainServer(ctx: FaultContext): Promise<Undo> {
  const {name: target} = serverOf(ctx);
  await setDrain(ctx, target, true);
  return () => setDrain(ctx, target, false);
}

async function setDrain(
  {deployment}: FaultContext,
  target: string,
  draining: boolean,
): Promise<void> {
  const [host] = deployment.routers.keys();
  const client = deployment.operatorsOf(host!);
  const reason = 'fault bench';
  const changeId = createId();
  const drained = await client.drain({changeId, target, draining, reason});
  await client.close();
  if (drained.err) throw new Error(drained.val.detail);
}
