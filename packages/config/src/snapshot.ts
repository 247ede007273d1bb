import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';
import {checkPublication} from './check-publication.js';
import {incarnationSchema} from './codec.js';
import {EMPTY_STATE} from './fold.js';
import type {AuditEntry, ClusterState, View} from './state.js';

const SNAPSHOT_FORMAT = 1;

/** Bounds what a damaged or hostile snapshot may unpack to. */
const MAX_UNPACKED_BYTES = 256 * 1024 ** 2;

const offsetSchema = z.int().min(0);

const pairShape = {
  epoch: offsetSchema,
  leader: incarnationSchema,
  standby: incarnationSchema.nullable(),
};

const viewSchema: z.ZodType<View> = z.object({
  cell: z.string(),
  ...pairShape,
  unsettled: z.array(z.object(pairShape)),
});

const auditSchema: z.ZodType<AuditEntry> = z.object({
  offset: offsetSchema,
  kind: z.enum(['publication', 'drain', 'attestation', 'unreadable']),
  changeId: z.string(),
  author: z.string(),
  reason: z.string(),
  at: z.string(),
  outcome: z.enum(['accepted', 'conflict', 'invalid', 'duplicate']),
  detail: z.string(),
});

const snapshotSchema = z.object({
  format: z.literal(SNAPSHOT_FORMAT),
  next: z.int().min(1),
  publication: z
    .object({
      version: offsetSchema,
      changeId: z.string(),
      author: z.string(),
      reason: z.string(),
      publishedAt: z.string(),
      inventoryToml: z.string(),
      rulesToml: z.string(),
    })
    .nullable(),
  retired: z.array(
    z.object({
      name: z.string(),
      shards: z.int(),
      cells: z.int(),
      checksFences: z.boolean(),
    }),
  ),
  views: z.array(viewSchema),
  drains: z.array(z.string()),
  attestations: z.array(
    z.object({offset: offsetSchema, host: z.string(), boot: z.string()}),
  ),
  audit: z.array(auditSchema),
  changeIds: z.array(auditSchema),
});

/**
 * A state as text: packed JSON in base64. Inventory and rules are read again
 * from their TOML when it is decoded.
 *
 * @example
 * ```ts
 * const copy = decodeState(encodeState(state)); // equal to state
 * ```
 */
export function encodeState(state: ClusterState): string {
  const {next, publication, attestations, audit} = state;
  const snapshot: z.input<typeof snapshotSchema> = {
    format: SNAPSHOT_FORMAT,
    next,
    publication,
    retired: [...(state.retired ?? [])],
    views: [...state.views.values()],
    drains: [...state.drains],
    attestations: [...attestations],
    audit: [...audit],
    changeIds: [...state.changeIds.values()],
  };
  return gzipSync(JSON.stringify(snapshot)).toString('base64');
}

/** Reads what `encodeState` wrote; null for anything else, never throws. */
export function decodeState(encoded: string): ClusterState | null {
  const checked = snapshotSchema.safeParse(unpack(encoded));
  if (!checked.success) return null;
  const {next, publication, retired, attestations, audit} = checked.data;
  const {views, drains, changeIds} = checked.data;
  const files = publication === null ? EMPTY_STATE : readFiles(publication);
  if (files === null) return null;
  return {
    next,
    publication,
    inventory: files.inventory,
    rules: files.rules,
    retired,
    views: new Map(views.map(view => [view.cell, view])),
    drains: new Set(drains),
    attestations,
    audit,
    changeIds: new Map(changeIds.map(entry => [entry.changeId, entry])),
  };
}

function readFiles(
  files: Parameters<typeof checkPublication>[0],
): Pick<ClusterState, 'inventory' | 'rules'> | null {
  const checked = checkPublication(files, []);
  return checked.ok ? checked.val : null;
}

function unpack(encoded: string): unknown {
  try {
    const packed = Buffer.from(encoded, 'base64');
    const json = gunzipSync(packed, {maxOutputLength: MAX_UNPACKED_BYTES});
    return JSON.parse(json.toString('utf8'));
  } catch {
    return undefined;
  }
}
