import {LOG_LEVELS} from '@banyandrum/base/logger.js';
import {z} from 'zod';

/** Messages between the operators' interface and its clients, as JSON. */

export const MAX_REASON_LENGTH = 500;
export const MAX_TOML_LENGTH = 1024 * 1024;
export const MAX_HISTORY = 1000;

const changeId = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
    'must be 1 to 64 of A-Z a-z 0-9 . _ -',
  );
const reason = z.string().trim().min(1).max(MAX_REASON_LENGTH);
const name = z.string().min(1).max(256);
const offset = z.int().min(0);

/** Replaces inventory and rules, if `basedOn` is still in force. */
export const publishRequest = z
  .strictObject({
    changeId,
    basedOn: offset,
    reason,
    inventoryToml: z.string().max(MAX_TOML_LENGTH),
    rulesToml: z.string().max(MAX_TOML_LENGTH),
  })
  .readonly();
export type PublishRequest = z.infer<typeof publishRequest>;

/** Takes a server or a router out of use, or back into it. */
export const drainRequest = z
  .strictObject({changeId, target: name, draining: z.boolean(), reason})
  .readonly();
export type DrainRequest = z.infer<typeof drainRequest>;

/** An operator's word that the router on a host is lost for good. */
export const attestationRequest = z
  .strictObject({
    changeId,
    host: name,
    /** The run that is lost; the one last known where it is left out. */
    boot: name.optional(),
    reason,
  })
  .readonly();
export type AttestationRequest = z.infer<typeof attestationRequest>;

export const logLevelRequest = z
  .strictObject({level: z.enum(LOG_LEVELS)})
  .readonly();
export type LogLevelRequest = z.infer<typeof logLevelRequest>;

/** A change that is in the log; a publication's version is its offset. */
export const changeAccepted = z.object({changeId, offset}).readonly();
export type ChangeAccepted = z.infer<typeof changeAccepted>;

/** A change whose outcome isn't known yet; ask for its id later. */
export const changeUnknown = z
  .object({changeId, outcome: z.literal('unknown'), detail: z.string()})
  .readonly();
export type ChangeUnknown = z.infer<typeof changeUnknown>;

export const publicationSummary = z
  .object({
    version: offset,
    changeId: z.string(),
    author: z.string(),
    reason: z.string(),
    publishedAt: z.string(),
  })
  .readonly();
export type PublicationSummary = z.infer<typeof publicationSummary>;

export const publicationMessage = z
  .object({
    ...publicationSummary.unwrap().shape,
    inventoryToml: z.string(),
    rulesToml: z.string(),
  })
  .readonly();
export type PublicationMessage = z.infer<typeof publicationMessage>;

/** What is in force on the router that was asked. */
export const stateMessage = z
  .object({
    /** Offset of the publication in force; 0 before the first. */
    version: offset,
    publication: publicationSummary.nullable(),
    /** The next offset of the log to apply. */
    next: offset,
    /** Age of the last confirmed read of the log's end, in ms. */
    confirmedAgeMs: z.number().nullable(),
    drains: z.array(z.string()).readonly(),
  })
  .readonly();
export type StateMessage = z.infer<typeof stateMessage>;

/** One line of the audit trail. */
export const auditMessage = z
  .object({
    offset,
    kind: z.enum(['publication', 'drain', 'attestation', 'unreadable']),
    changeId: z.string(),
    author: z.string(),
    reason: z.string(),
    at: z.string(),
    outcome: z.enum(['accepted', 'conflict', 'invalid', 'duplicate']),
    detail: z.string(),
  })
  .readonly();
export type AuditMessage = z.infer<typeof auditMessage>;

export const historyMessage = z
  .object({entries: z.array(auditMessage).readonly()})
  .readonly();
export type HistoryMessage = z.infer<typeof historyMessage>;

const routerStatus = z
  .object({
    host: z.string(),
    address: z.string(),
    dataCentre: z.string(),
    boot: z.string().nullable(),
    /** Version in force there, as last heard; null where never heard. */
    version: offset.nullable(),
    /** How long ago it was last heard, in ms; 0 for the one asked. */
    heardAgeMs: z.number().nullable(),
    draining: z.boolean(),
  })
  .readonly();
export type RouterStatus = z.infer<typeof routerStatus>;

const shardStatus = z
  .object({
    shard: z.string(),
    /** The server that owns it; null while none does. */
    owner: z.string().nullable(),
    state: z.string(),
  })
  .readonly();
export type ShardStatus = z.infer<typeof shardStatus>;

const serverStatus = z
  .object({
    server: z.string(),
    state: z.string(),
    inFlight: z.int(),
    queued: z.int(),
    draining: z.boolean(),
  })
  .readonly();
export type ServerStatus = z.infer<typeof serverStatus>;

export const cellStatus = z
  .object({
    cell: z.string(),
    epoch: offset,
    /** Hosts; null while there is none. */
    leader: z.string().nullable(),
    standby: z.string().nullable(),
    /** Known to the leader alone, so empty elsewhere. */
    shards: z.array(shardStatus).readonly(),
    servers: z.array(serverStatus).readonly(),
  })
  .readonly();
export type CellStatus = z.infer<typeof cellStatus>;

export const statusMessage = z
  .object({
    /** Host of the router that was asked. */
    host: z.string(),
    version: offset,
    routers: z.array(routerStatus).readonly(),
    cells: z.array(cellStatus).readonly(),
  })
  .readonly();
export type StatusMessage = z.infer<typeof statusMessage>;

/** How a request for a key would travel now. */
export const explainMessage = z
  .object({
    service: z.string(),
    key: z.string(),
    cell: z.string(),
    shard: z.string().nullable(),
    epoch: offset,
    leader: z.string().nullable(),
    standby: z.string().nullable(),
    owner: z.string().nullable(),
    /** One line for people on each step. */
    steps: z.array(z.string()).readonly(),
  })
  .readonly();
export type ExplainMessage = z.infer<typeof explainMessage>;

/** A change of state; `alive` says only that the stream is. */
export const watchEvent = z
  .object({
    kind: z.enum([
      'start',
      'publication',
      'views',
      'drain',
      'attestation',
      'alive',
    ]),
    at: z.string(),
    offset,
    version: offset,
    detail: z.string(),
  })
  .readonly();
export type WatchEvent = z.infer<typeof watchEvent>;

/** Why an operator's request failed. */
export const PROBLEM_KINDS = [
  'invalid',
  'conflict',
  'unknown',
  'not-found',
  'unavailable',
  'forbidden',
  'unauthorised',
  'bad-request',
  'too-large',
  'internal',
] as const;

/** The body of an error answer, after RFC 9457. */
export const problemMessage = z
  .object({
    type: z.string(),
    title: z.string(),
    status: z.int(),
    detail: z.string(),
    kind: z.enum(PROBLEM_KINDS),
    problems: z.array(z.string()).readonly().optional(),
    /** The version in force, on a conflict. */
    inForce: offset.optional(),
  })
  .readonly();
export type ProblemMessage = z.infer<typeof problemMessage>;
export type ProblemKind = (typeof PROBLEM_KINDS)[number];
