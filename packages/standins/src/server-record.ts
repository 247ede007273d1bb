import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';

/**
 * - `running`: not over yet.
 * - `done`: it took effect and was answered.
 * - `stopped`: stopped at its deadline or with its lease, or its body
 *   was cut; no effect.
 */
export type ExecutionOutcome = 'running' | 'done' | 'stopped';

/** One request that a server began to execute. */
export interface Execution {
  readonly server: string;
  readonly requestId: string;
  readonly method: string;
  readonly key: string;
  readonly shard: ShardId;
  readonly cell: CellId;
  readonly fence: Fence;
  readonly once: boolean;
  /** On the injected clock, which all stand-ins of a process share, in ms. */
  readonly startMs: number;
  /** Null while it runs. */
  readonly endMs: number | null;
  readonly outcome: ExecutionOutcome;
}

/** What is known when an execution starts. */
export type ExecutionStart = Omit<
  Execution,
  'server' | 'startMs' | 'endMs' | 'outcome'
>;

/** Ends an execution; later calls do nothing. */
export type EndExecution = (outcome: 'done' | 'stopped') => void;

/** Every execution of a server, over all its runs, for checkers. */
export interface ExecutionRecord {
  start(execution: ExecutionStart): EndExecution;
  list(): readonly Execution[];
  clear(): void;
}

/**
 * Makes an empty record.
 *
 * @example
 * ```ts
 * const record = createExecutionRecord('holds-1', () => clock.now());
 * const end = record.start({requestId, key, ...});
 * end('done');
 * ```
 */
export function createExecutionRecord(
  server: string,
  now: () => number,
): ExecutionRecord {
  let executions: Execution[] = [];
  return {
    start(execution) {
      const target = executions;
      const started: Execution = {
        server,
        ...execution,
        startMs: now(),
        endMs: null,
        outcome: 'running',
      };
      const index = target.push(started) - 1;
      return outcome => {
        if (target[index] !== started) return;
        target[index] = {...started, endMs: now(), outcome};
      };
    },
    list: () => [...executions],
    clear() {
      executions = [];
    },
  };
}
