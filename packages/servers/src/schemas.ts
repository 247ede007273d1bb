import {z} from 'zod';

const fenceSchema = z.object({
  epoch: z.number().int().min(0),
  sequence: z.number().int().min(0),
});

const stampSchema = z.object({boot: z.string().min(1), ms: z.number()});

/** The JSON form of a `LeaseOrder`. */
export const leaseOrderSchema = z.object({
  cell: z.string().min(1),
  fence: fenceSchema,
  ttlMs: z.number().positive(),
  echo: stampSchema.nullable(),
  shards: z.array(z.string().min(1)),
});

/** The JSON form of a `LeaseAck`. */
export const leaseAckSchema = z.object({
  stamp: stampSchema,
  fence: fenceSchema.nullable(),
  shards: z.array(z.string().min(1)),
});

/** The JSON form of the rejection of an order because of its fence. */
export const fencedSchema = z.object({fence: fenceSchema});

/** The JSON form of a `ServerLoad`. */
export const serverLoadSchema = z.object({
  health: z.enum(['ok', 'cold', 'shedding', 'leaving']),
  busy: z.number().min(0),
  slots: z.number().min(0),
  queued: z.number().min(0),
});
