import {createId, type Incarnation} from '@banyandrum/base/ids.js';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Ok} from '@banyandrum/base/result.js';
import {createPeerServer} from '@banyandrum/routers/peer-server.js';
import {type PeerControl, peerSchemas} from './slopes-peer-control.js';
import {readOwn} from './slopes-sweep.js';

/** The answering side of streams, as a process of its own. */
const read = readOwn();
const boot = createId();
let address = '';
const self = (): Incarnation => ({
  host: 'host',
  address,
  boot,
  dataCentre: 'centre-1',
});

const server = await createPeerServer<PeerControl>({
  listen: '127.0.0.1:0',
  self,
  log: createSilentLogger(),
  schemas: peerSchemas,
  handleRequest: req =>
    Promise.resolve(Ok({status: 200, headers: [], body: req.body})),
  handlers: {
    usage: async () => read(),
    consent: async (_, {cells}) => ({
      granted: cells.map(({cell}) => cell),
      leaving: false,
      unreached: false,
    }),
    table: async () => ({stored: true}),
    withdraw: async () => ({withdrawnForMs: null, refused: 'bench'}),
    resign: async () => ({accepted: []}),
    leads: async () => ({leading: [], next: 1, publication: 0}),
    // As long an answer as the offset asked for says.
    reach: async () => ({reached: true}),
    state: async (_, {next}) => ({encoded: 'x'.repeat(next)}),
  },
});
address = server.address;
process.stdout.write(`${JSON.stringify(self())}\n`);
process.once('SIGTERM', () => process.exit(0));
