import {createId} from '@banyandrum/base/ids.js';
import {z} from 'zod';
import type {StateRecord} from './records.js';

/**
 * Format of the records written. A reader skips newer formats and kinds that
 * it doesn't know, as every reader of its version does.
 */
export const RECORD_FORMAT = 1;

export const MAX_REASON_LENGTH = 1_000;

const MAX_ID_LENGTH = 128;
const MAX_NAME_LENGTH = 256;

/** What the bytes of one record of the log turned out to be. */
export type DecodedRecord =
  | {readonly kind: 'record'; readonly id: string; readonly record: StateRecord}
  | {readonly kind: 'newer'}
  | {readonly kind: 'unreadable'; readonly detail: string};

const offsetSchema = z.int().min(0);
const idSchema = z.string().min(1).max(MAX_ID_LENGTH);
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** Who did it, when and why; alike in all that operators write. */
const changeShape = {
  changeId: idSchema,
  author: z.string().max(MAX_NAME_LENGTH),
  reason: z.string().max(MAX_REASON_LENGTH),
  at: z.string().max(MAX_ID_LENGTH),
};

export const incarnationSchema = z.object({
  host: nameSchema,
  address: nameSchema,
  boot: idSchema,
  dataCentre: nameSchema,
});

const claimSchema = z.object({
  cell: nameSchema,
  previous: offsetSchema,
  leader: incarnationSchema,
  standby: incarnationSchema.nullable(),
  settled: z.boolean(),
});

const recordSchemas: {
  readonly [K in StateRecord['kind']]: z.ZodType<
    Extract<StateRecord, {kind: K}>
  >;
} = {
  publication: z.object({
    kind: z.literal('publication'),
    ...changeShape,
    basedOn: offsetSchema,
    inventoryToml: z.string(),
    rulesToml: z.string(),
  }),
  views: z.object({
    kind: z.literal('views'),
    claims: z.array(claimSchema),
  }),
  drain: z.object({
    kind: z.literal('drain'),
    ...changeShape,
    target: nameSchema,
    draining: z.boolean(),
  }),
  attestation: z.object({
    kind: z.literal('attestation'),
    ...changeShape,
    host: nameSchema,
    boot: idSchema,
  }),
  snapshot: z.object({
    kind: z.literal('snapshot'),
    next: offsetSchema,
    state: z.string(),
  }),
};

const envelopeSchema = z.object({
  format: z.int().min(1),
  id: idSchema,
  record: z.object({kind: z.string()}).loose(),
});

/**
 * The bytes of a record. The id tells one's own record from others' when the
 * reply to its append was lost.
 *
 * @example
 * ```ts
 * const id = createId();
 * await client.append(encodeRecord({kind: 'views', claims}, id));
 * ```
 */
export function encodeRecord(
  record: StateRecord,
  id: string = createId(),
): Uint8Array {
  return Buffer.from(JSON.stringify({format: RECORD_FORMAT, id, record}));
}

/**
 * Reads a record; never throws.
 *
 * @example
 * ```ts
 * const decoded = decodeRecord(data);
 * if (decoded.kind === 'record') apply(decoded.record);
 * ```
 */
export function decodeRecord(data: Uint8Array): DecodedRecord {
  const envelope = envelopeSchema.safeParse(parseJson(data));
  if (!envelope.success) return unreadable('no envelope of a record');
  const {format, id, record} = envelope.data;
  if (format > RECORD_FORMAT || !isKnownKind(record.kind)) {
    return {kind: 'newer'};
  }
  const checked = recordSchemas[record.kind].safeParse(record);
  if (!checked.success) return unreadable(`no whole ${record.kind} record`);
  return {kind: 'record', id, record: checked.data};
}

function isKnownKind(kind: string): kind is StateRecord['kind'] {
  return Object.hasOwn(recordSchemas, kind);
}

function unreadable(detail: string): DecodedRecord {
  return {kind: 'unreadable', detail};
}

function parseJson(data: Uint8Array): unknown {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(data);
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
