import {z} from 'zod';
import {DOWN_MODES} from './faulty-listener.js';

/**
 * What happens to appends.
 *
 * - `lost-reset`, `lost-hang`, `lost-500`: applied, but the reply is lost: the
 *   connection is reset, stays silent, or an error comes instead.
 * - `refused`: not applied, `503`.
 */
export const APPEND_FAULTS = [
  'none',
  'lost-reset',
  'lost-hang',
  'lost-500',
  'refused',
] as const;
export type AppendFault = (typeof APPEND_FAULTS)[number];

/** What happens to reads: not JSON, of the wrong shape, cut short, too big. */
export const READ_FAULTS = [
  'none',
  'junk',
  'wrong-shape',
  'gap',
  'cut',
  'oversize',
  'failed',
] as const;
export type ReadFault = (typeof READ_FAULTS)[number];

export const LOG_FAULTS_SCHEMA = z.strictObject({
  /** The whole log: refuses connections, hangs, or resets them. */
  down: z.enum(DOWN_MODES),
  /** How long each answer is held back, in ms, once it is worked out. */
  delayMs: z.number().nonnegative(),
  /** How long an append waits before it is applied, in ms. */
  applyDelayMs: z.number().nonnegative(),
  append: z.enum(APPEND_FAULTS),
  /** How many appends the fault hits before it ends; null for all. */
  appendCount: z.int().positive().nullable(),
  read: z.enum(READ_FAULTS),
  /** How many of the newest records of each stream are kept; null for all. */
  keepRecords: z.int().nonnegative().nullable(),
  maxRecordBytes: z.int().positive(),
});

/** The faults of the log stand-in in force; all can change at run time. */
export type LogFaults = Readonly<z.infer<typeof LOG_FAULTS_SCHEMA>>;

export const DEFAULT_MAX_RECORD_BYTES = 1024 * 1024;

export const NO_LOG_FAULTS: LogFaults = {
  down: 'none',
  delayMs: 0,
  applyDelayMs: 0,
  append: 'none',
  appendCount: null,
  read: 'none',
  keepRecords: null,
  maxRecordBytes: DEFAULT_MAX_RECORD_BYTES,
};
