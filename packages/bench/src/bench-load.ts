import {z} from 'zod';
import {fileURLToPath} from 'node:url';
import {startChild} from './child.js';

/** Requests that a process of its own sends; bounded in count and time. */
export interface LoadSpec {
  /** `ip:port`s, taken in turn. */
  readonly addresses: readonly string[];
  /** Targets, taken in turn. */
  readonly paths: readonly string[];
  readonly headers: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'PUT';
  /** Size of each request's body; with `/echo` also of its answer. */
  readonly bodyBytes: number;
  /** Requests in flight: always so many, or at most so many with a rate. */
  readonly concurrency: number;
  /** Arrivals a second, whatever the answers; null sends on each answer. */
  readonly ratePerSecond: number | null;
  readonly durationMs: number;
  readonly maxRequests: number;
}

/** What came of a load; times in ms. */
export interface LoadResult {
  /** Requests answered whole with a status below 300. */
  readonly answered: number;
  readonly failed: number;
  /** Why they failed, by code, such as `overloaded`. */
  readonly codes: Readonly<Record<string, number>>;
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

export const loadResultSchema = z.object({
  answered: z.number(),
  failed: z.number(),
  codes: z.record(z.string(), z.number()),
  perSecond: z.number(),
  p50Ms: z.number(),
  p99Ms: z.number(),
});

const RUN_LOAD = fileURLToPath(new URL('./bench-run-load.js', import.meta.url));

/**
 * Runs a load in a process of its own, so that its work delays nothing else
 * that is measured.
 *
 * @example
 * ```ts
 * const {perSecond, p99Ms} = await runLoad({...spec, durationMs: 2_000});
 * ```
 */
export async function runLoad(spec: LoadSpec): Promise<LoadResult> {
  const args = [RUN_LOAD, JSON.stringify(spec)];
  const child = await startChild({name: 'load', args});
  await child.exited;
  const result = loadResultSchema.parse(child.hello);
  if (result.answered > 0) return result;
  const codes = JSON.stringify(result.codes);
  throw new Error(`none of the load was answered whole: ${codes}`);
}
