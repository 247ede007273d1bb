import type {CliCommand} from '../cli.js';
import {EXIT} from '../exit-codes.js';
import {formatJson, formatTable} from '../format.js';
import {
  askRouter,
  ROUTER_ARGS,
  type SuspectMessage,
} from '../quarantine-client.js';

/** `banyandrum quarantine`: lists requests during which servers crashed. */
export const quarantineCommand: CliCommand = {
  description:
    'Show requests under which servers ended: refused ones, suspected ones, ' +
    'and those that were cleared',
  args: ROUTER_ARGS,
  async run(args, io) {
    const {requests} = await askRouter<{
      readonly requests: readonly SuspectMessage[];
    }>(args, io, 'GET', '/quarantine');
    if (args.flag('json')) io.out(formatJson(requests));
    else io.out(formatTable([HEAD, ...requests.map(toRow)]));
    return EXIT.ok;
  },
};

const HEAD = [
  'CONTENT',
  'SCOPE',
  'STATE',
  'CALLER',
  'SERVICE',
  'ROUTE',
  'ENDED',
  'WHY',
];

function toRow(row: SuspectMessage): string[] {
  const {content, scope, caller, service, route, strikes, cleared} = row;
  const servers = strikes.map(({server}) => server).join(' ');
  const why = cleared === null ? '' : `${cleared.by}: ${cleared.reason}`;
  const state = stateOf(row);
  return [content, scope, state, caller, service, route, servers, why];
}

function stateOf({isQuarantined, strikes}: SuspectMessage): string {
  if (isQuarantined) return 'refused';
  return strikes.length > 0 ? 'suspected' : 'cleared';
}
