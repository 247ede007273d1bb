import type {
  CellStatus,
  ShardStatus,
  StatusMessage,
} from '@banyandrum/operators/messages.js';
import type {CliCommand} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatAge, formatJson, formatTable} from '../format.js';
import {CONNECTION_ARGS, unwrap, withClient} from '../session.js';

/** `banyandrum status`: lists routers, cells, shards and servers. */
export const statusCommand: CliCommand = {
  description:
    'Show routers and their versions, cells and their leaders; of the asked ' +
    "router's own cells also shards, owners and servers",
  args: {
    shards: {type: 'boolean', description: 'Print each shard with its owner'},
    ...CONNECTION_ARGS,
  },
  async run(args, io) {
    const status = await withClient(args, io, async client =>
      unwrap(await client.status()),
    );
    if (args.flag('json')) io.out(formatJson(status));
    else io.out(formatStatus(status, args.flag('shards')));
    return EXIT.ok;
  },
};

function formatStatus(status: StatusMessage, wantsShards: boolean): string {
  const {host, version, cells} = status;
  const servers = serverRows(cells);
  return [
    `asked ${host}, version ${version}\n`,
    formatTable([
      ['ROUTER', 'ADDRESS', 'DATA CENTRE', 'VERSION', 'HEARD', 'DRAIN'],
      ...routerRows(status),
    ]),
    formatTable([
      ['CELL', 'EPOCH', 'LEADER', 'STANDBY', 'SHARDS'],
      ...cells.map(cellRow),
    ]),
    ...(servers.length === 0 ? [] : [formatTable([SERVER_HEAD, ...servers])]),
    ...(wantsShards ? [formatTable([SHARD_HEAD, ...shardRows(cells)])] : []),
  ].join('\n');
}

const SERVER_HEAD = ['SERVER', 'CELL', 'STATE', 'IN FLIGHT', 'QUEUED', 'DRAIN'];
const SHARD_HEAD = ['CELL', 'SHARD', 'STATE', 'OWNER'];

function routerRows(status: StatusMessage): string[][] {
  return status.routers.map(router => [
    router.host,
    router.address,
    router.dataCentre,
    router.version === null ? 'unknown' : String(router.version),
    router.host === status.host ? 'asked' : formatAge(router.heardAgeMs),
    router.draining ? 'yes' : '',
  ]);
}

function cellRow(cell: CellStatus): string[] {
  const {epoch, leader, standby, shards} = cell;
  return [
    cell.cell,
    String(epoch),
    leader ?? 'none',
    standby ?? 'none',
    countStates(shards),
  ];
}

/** `40 held, 8 free`; empty on routers that don't lead the cell. */
function countStates(shards: readonly ShardStatus[]): string {
  const counts = new Map<string, number>();
  for (const {state} of shards) counts.set(state, (counts.get(state) ?? 0) + 1);
  return [...counts].map(([state, count]) => `${count} ${state}`).join(', ');
}

function serverRows(cells: readonly CellStatus[]): string[][] {
  return cells.flatMap(cell =>
    cell.servers.map(server => [
      server.server,
      cell.cell,
      server.state,
      String(server.inFlight),
      String(server.queued),
      server.draining ? 'yes' : '',
    ]),
  );
}

function shardRows(cells: readonly CellStatus[]): string[][] {
  return cells.flatMap(cell =>
    cell.shards.map(({shard, state, owner}) => [
      cell.cell,
      shard,
      state,
      owner ?? 'none',
    ]),
  );
}
