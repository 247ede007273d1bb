import {subscribe} from 'node:diagnostics_channel';
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {fitSeries, type Series} from './slopes-fit.js';

/** What a process has used up to now. */
export interface Usage {
  /** Processor time of all threads, in us. */
  readonly cpuUs: number;
  /** The same after garbage was collected for the reading of memory. */
  readonly cpuAfterUs: number;
  readonly rssBytes: number;
  /** Bytes sent and received by its sockets; 0 where they aren't counted. */
  readonly bytes: number;
}

/** What is done at one size. */
export interface Work {
  run(): Promise<unknown>;
  close?(): Promise<unknown>;
}

/** One role at several sizes. */
export interface Sweep {
  readonly name: string;
  /** What the sizes count. */
  readonly of: string;
  readonly sizes: readonly number[];
  /** Units in one run, such as seconds or messages. */
  readonly per: number | ((size: number) => number);
  /** Such as `/s`, after the units of the costs. */
  readonly unit?: string;
  /** Whether memory is of interest; it is the whole process's. */
  readonly memory?: boolean;
  open(size: number): Work | Promise<Work>;
}

/** Reads what the processes on each side of the role have used. */
export type ReadUsage = () => Promise<readonly Usage[]>;

const RUNS = 2;
const US_PER_TICK = 10_000;
const PAGE_BYTES = 4_096;

/**
 * Runs the work at each size, twice and once before to warm up, and fits
 * processor time and memory of each side, and the bytes of the first.
 *
 * @example
 * ```ts
 * const [cpu] = await sweep(read, [''], {name: 'poll', of: 'polls/s', ...});
 * ```
 */
export async function sweep(
  read: ReadUsage,
  sides: readonly string[],
  {name, of, sizes, per, unit = '', memory = false, open}: Sweep,
): Promise<readonly Series[]> {
  const rows: {x: number; before: readonly Usage[]; after: readonly Usage[]}[] =
    [];
  for (const x of sizes) {
    const work = await open(x);
    await work.run();
    for (let i = 0; i < RUNS; i++) {
      const before = await read();
      await work.run();
      rows.push({x, before, after: await read()});
    }
    await work.close?.();
  }
  const units = (x: number): number => (typeof per === 'number' ? per : per(x));
  const fit = (
    what: string,
    unitOf: string,
    pick: (before: Usage, after: Usage, units: number) => number,
    side: number,
  ): Series => {
    const points = rows.map(({x, before, after}) => {
      return {x, y: pick(before[side]!, after[side]!, units(x))};
    });
    return fitSeries(`${name} ${what}`, of, unitOf, points);
  };
  const memoryOf = (label: string, side: number): readonly Series[] =>
    memory ? [fit(`${label}memory`, 'B', rssAfter, side)] : [];
  const series = sides.flatMap((label, side) => [
    fit(`${label}cpu`, `us${unit}`, cpuBetween, side),
    ...memoryOf(label, side),
  ]);
  // Bytes of other processes are not counted.
  if (rows.every(({after}) => after[0]!.bytes === 0)) return series;
  return [...series, fit('bytes', `B${unit}`, bytesBetween, 0)];
}

function rssAfter(_: Usage, {rssBytes}: Usage): number {
  return rssBytes;
}

function cpuBetween(before: Usage, after: Usage, units: number): number {
  return (after.cpuUs - before.cpuAfterUs) / units;
}

function bytesBetween(before: Usage, after: Usage, units: number): number {
  return (after.bytes - before.bytes) / units;
}

/**
 * Reads this process, with the bytes of all sockets opened from now on.
 *
 * @example
 * ```ts
 * const read = readOwn();
 * const {cpuUs} = read();
 * ```
 */
export function readOwn(): () => Usage {
  const open = new Set<Socket>();
  let closed = 0;
  const sizeOf = ({bytesRead, bytesWritten}: Socket): number =>
    bytesRead + bytesWritten;
  const follow = (message: unknown): void => {
    const {socket} = message as {readonly socket: Socket};
    open.add(socket);
    socket.once('close', () => {
      open.delete(socket);
      closed += sizeOf(socket);
    });
  };
  subscribe('net.client.socket', follow);
  subscribe('net.server.socket', follow);
  return () => {
    const cpuUs = ownCpuUs();
    collect();
    const rssBytes = process.memoryUsage.rss();
    const bytes = [...open].reduce((sum, one) => sum + sizeOf(one), closed);
    return {cpuUs, cpuAfterUs: ownCpuUs(), rssBytes, bytes};
  };
}

/** Reads a child process (Linux only). */
export function readChild(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const cpuUs = (Number(fields[11]) + Number(fields[12])) * US_PER_TICK;
  const rssBytes = Number(fields[21]) * PAGE_BYTES;
  return {cpuUs, cpuAfterUs: cpuUs, rssBytes, bytes: 0};
}

/** Processor time of one call in us, over at least `minMs` of them. */
export function cpuOf(task: () => unknown, minMs = 150): number {
  task();
  const start = ownCpuUs();
  for (let calls = 1; ; calls++) {
    task();
    const spent = ownCpuUs() - start;
    if (spent >= minMs * 1_000) return spent / calls;
  }
}

/** Bytes of heap that what the task makes takes. */
export function heapOf(make: () => unknown): number {
  make();
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  collect();
  const after = process.memoryUsage().heapUsed;
  // Used after the reading, so that it is not collected before.
  return kept === undefined ? 0 : after - before;
}

/** Calls `task` at a steady rate for so long, and waits for all of them. */
export async function atRate<Value>(
  rate: number,
  ms: number,
  task: (index: number) => Promise<Value>,
): Promise<readonly Value[]> {
  const start = performance.now();
  const under: Promise<Value>[] = [];
  for (;;) {
    const passed = Math.min(ms, performance.now() - start);
    while (under.length < (passed * rate) / 1_000) {
      under.push(task(under.length));
    }
    if (passed >= ms) return Promise.all(under);
    await pause(2);
  }
}

/** Resolves after `ms` of real time. */
export function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function ownCpuUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

function collect(): void {
  if (globalThis.gc === undefined) throw new Error('run with --expose-gc');
  for (let i = 0; i < 2; i++) void globalThis.gc();
}
