import {request} from 'undici';
import type {RouterProcess} from './deployment.js';

/** What a router process has used since its start. */
export interface Usage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

const CPU = /^banyandrum_process_cpu_seconds_total (\S+)/m;
const RESIDENT = /^banyandrum_process_resident_memory_bytes (\S+)/m;

/**
 * Reads what a router process has used, from its own metrics.
 *
 * @example
 * ```ts
 * const before = await readUsage(router);
 * ```
 */
export async function readUsage({operators}: RouterProcess): Promise<Usage> {
  const res = await request(`http://${operators}/metrics`);
  const text = await res.body.text();
  return {
    cpuSeconds: Number(CPU.exec(text)?.[1]),
    residentBytes: Number(RESIDENT.exec(text)?.[1]),
  };
}
