import {z} from 'zod';
import type {Peers} from '@banyandrum/routers/peers.js';
import type {ShardTable} from './table.js';

/*
 * Control messages between routers, all plain JSON. The stream carries the
 * sender's incarnation.
 */

const offsetSchema = z.number().int().min(0);

const fenceSchema = z.object({
  server: z.string(),
  epoch: offsetSchema,
  sequence: z.number().int().min(0),
});

const entrySchema = z.object({
  shard: z.string(),
  state: z.enum(['held', 'moving', 'free']),
  server: z.string().nullable(),
  next: z.string().nullable(),
});

const tableSchema = z.object({
  cell: z.string(),
  epoch: offsetSchema,
  version: z.number().int().min(0),
  entries: z.array(entrySchema),
  fences: z.array(fenceSchema),
});

const cellEpochSchema = z.object({cell: z.string(), epoch: offsetSchema});

const resignedCellSchema = z.object({
  cell: z.string(),
  epoch: offsetSchema,
  cleared: z.boolean(),
  table: tableSchema.nullable(),
});

const leadsSchema = z.object({
  leading: z.array(cellEpochSchema),
  next: offsetSchema,
  publication: offsetSchema,
});

/** Schemas by which the peer server validates ownership's control messages. */
export const ownershipSchemas = {
  consent: {
    ask: z.object({cells: z.array(cellEpochSchema)}),
    answer: z.object({
      granted: z.array(z.string()),
      leaving: z.boolean(),
      unreached: z.boolean(),
    }),
  },
  table: {
    ask: z.object({table: tableSchema}),
    answer: z.object({stored: z.boolean()}),
  },
  withdraw: {
    ask: cellEpochSchema,
    answer: z.object({
      withdrawnForMs: z.number().nullable(),
      refused: z.string().nullable(),
    }),
  },
  resign: {
    ask: z.object({cells: z.array(resignedCellSchema)}),
    answer: z.object({accepted: z.array(z.string())}),
  },
  reach: {
    ask: z.object({}),
    answer: z.object({reached: z.boolean()}),
  },
  leads: {
    ask: z.object({}),
    answer: leadsSchema,
  },
  state: {
    ask: z.object({next: offsetSchema}),
    answer: z.object({encoded: z.string().nullable()}),
  },
} as const;

type Message<K extends keyof typeof ownershipSchemas> = {
  readonly ask: z.infer<(typeof ownershipSchemas)[K]['ask']>;
  readonly answer: z.infer<(typeof ownershipSchemas)[K]['answer']>;
};

/**
 * - `consent`: a leader asks its standby for consent to keep acting, for all
 *   cells that the two share; also the heartbeat between them. `leaving`
 *   reports that the standby stops soon, `unreached` that its new connections
 *   to the leader fail.
 * - `table`: a leader stores a cell's complete table at the standby.
 * - `withdraw`: a third router asks a standby to stop consenting;
 *   `withdrawnForMs` is null if the standby refuses.
 * - `resign`: a leader has stopped acting and hands its cells over;
 *   `cleared` tells whether all its predecessors were known to have stopped.
 * - `reach`: a router asks whether a new connection to it succeeds.
 * - `leads`: the cells that the router leads, and its versions of the log
 *   and of the publication.
 * - `state`: newer state of the log, for a router that cannot read the log.
 */
export type OwnershipControl = {
  readonly [K in keyof typeof ownershipSchemas]: Message<K>;
};

export type ConsentRequest = OwnershipControl['consent']['ask'];
export type ConsentResponse = OwnershipControl['consent']['answer'];
export type CellEpoch = OwnershipControl['withdraw']['ask'];
export type WithdrawResponse = OwnershipControl['withdraw']['answer'];
export type ResignRequest = OwnershipControl['resign']['ask'];
export type ResignedCell = ResignRequest['cells'][number];
export type LeadsResponse = OwnershipControl['leads']['answer'];
export type TableMessage = OwnershipControl['table']['ask']['table'];

/** The peer client operations that ownership uses. */
export type OwnershipPeers = Pick<Peers<OwnershipControl>, 'ask' | 'probe'>;

/** Encodes a table for a message. */
export function toTableMessage(table: ShardTable): TableMessage {
  return {
    cell: table.cell,
    epoch: table.epoch,
    version: table.version,
    entries: [...table.entries],
    fences: [...table.fences].map(([server, fence]) => ({server, ...fence})),
  };
}

/** Decodes the table of a message. */
export function fromTableMessage(message: TableMessage): ShardTable {
  return {
    cell: message.cell,
    epoch: message.epoch,
    version: message.version,
    entries: message.entries,
    fences: new Map(
      message.fences.map(({server, epoch, sequence}) => [
        server,
        {epoch, sequence},
      ]),
    ),
  };
}
