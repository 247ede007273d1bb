import {subscribe} from 'node:diagnostics_channel';
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';

/** What a process has used up to now. */
export interface Usage {
  /** Processor time of all threads, in us. */
  readonly cpuUs: number;
  /** The same after garbage was collected for the reading of memory. */
  readonly cpuAfterUs: number;
  readonly rssBytes: number;
  /** Bytes sent and received by its sockets; null where it is unknown. */
  readonly bytes: number | null;
}

const US_PER_TICK = 10_000;
const PAGE_BYTES = 4_096;

/**
 * Counts the bytes of all sockets that this process opens from now on.
 *
 * @example
 * ```ts
 * const bytes = countBytes();
 * const before = bytes();
 * ```
 */
export function countBytes(): () => number {
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
  return () => [...open].reduce((sum, socket) => sum + sizeOf(socket), closed);
}

/** What this process has used; collects garbage. */
export function ownUsage(bytes: () => number): Usage {
  const cpuUs = ownCpuUs();
  collect();
  const rssBytes = process.memoryUsage.rss();
  return {cpuUs, cpuAfterUs: ownCpuUs(), rssBytes, bytes: bytes()};
}

/** What was used between two readings, per unit of something. */
export interface Cost {
  readonly cpuUs: number;
  readonly bytes: number;
}

/**
 * The cost between two readings, without that of reading.
 *
 * @example
 * ```ts
 * costOf(before, after, seconds).cpuUs; // us a second
 * ```
 */
export function costOf(before: Usage, after: Usage, per: number): Cost {
  return {
    cpuUs: (after.cpuUs - before.cpuAfterUs) / per,
    bytes: ((after.bytes ?? 0) - (before.bytes ?? 0)) / per,
  };
}

function ownCpuUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** What a child process has used (Linux only). */
export function childUsage(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(fields[21]);
  const rssBytes = pages * PAGE_BYTES;
  const cpuUs = ticks * US_PER_TICK;
  return {cpuUs, cpuAfterUs: cpuUs, rssBytes, bytes: null};
}

/** Processor time of one call in us, over at least `minMs` of them. */
export function cpuOf(task: () => unknown, minMs = 150): number {
  task();
  const start = process.cpuUsage();
  let calls = 0;
  for (;;) {
    task();
    calls++;
    const {user, system} = process.cpuUsage(start);
    if (user + system >= minMs * 1_000) return (user + system) / calls;
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

/** Resolves after `ms` of real time. */
export function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function collect(): void {
  if (globalThis.gc === undefined) throw new Error('run with --expose-gc');
  for (let i = 0; i < 2; i++) void globalThis.gc();
}
