import {createId} from '@banyandrum/base/ids.js';
import {Agent, request} from 'undici';

/** What one request of the load came to, as its caller saw it. */
export interface Sample {
  readonly target: string;
  readonly once: boolean;
  /** Monotonic time in ms. */
  readonly startMs: number;
  readonly endMs: number;
  /** HTTP status, or 0 where the connection failed. */
  readonly status: number;
  /** The verdict as told, or `may-have-run` where nothing was told. */
  readonly verdict: string;
  readonly code: string;
  readonly requestId: string | null;
  /** Whether the answer was whole and belonged to this request. */
  readonly isOwn: boolean;
}

export interface ProbeLoadOptions {
  /** `service/key`, each asked in turn by a task of its own. */
  readonly targets: readonly string[];
  /** Callers' addresses of the routers that the balancer would choose. */
  readonly entries: () => readonly string[];
  readonly pauseMs: number;
  readonly deadlineMs: number;
}

/** Callers that ask for each key again and again. */
export interface ProbeLoad {
  /** Samples so far; they go on growing until it stops. */
  readonly samples: readonly Sample[];
  stop(): Promise<void>;
}

/** Patience beyond the deadline, for a router that doesn't answer at all. */
const EXTRA_MS = 1_000;

/**
 * Starts the load: for each target, echoes that may be repeated and records
 * that must not be, in turn.
 *
 * @example
 * ```ts
 * const load = startProbeLoad({targets: ['holds/ward-7'], entries, ...});
 * await load.stop();
 * ```
 */
export function startProbeLoad(options: ProbeLoadOptions): ProbeLoad {
  const agent = new Agent({connections: 64, pipelining: 1});
  const stopping = new AbortController();
  const samples: Sample[] = [];
  const probe = async (target: string, index: number): Promise<void> => {
    for (let turn = 0; !stopping.signal.aborted; turn++) {
      const entries = options.entries();
      const entry = entries[(index + turn) % entries.length]!;
      const isRecord = turn % 2 === 1;
      samples.push(await ask(agent, entry, target, isRecord, options));
      await new Promise(resolve => setTimeout(resolve, options.pauseMs));
    }
  };
  const probes = options.targets.map(probe);
  return {
    samples,
    async stop() {
      stopping.abort();
      await Promise.all(probes);
      await agent.close();
    },
  };
}

async function ask(
  agent: Agent,
  entry: string,
  target: string,
  isRecord: boolean,
  {deadlineMs}: ProbeLoadOptions,
): Promise<Sample> {
  const startMs = performance.now();
  const token = createId();
  const path = isRecord ? target : `${target}/echo`;
  const common = {target, once: isRecord, startMs};
  try {
    const res = await request(`http://${entry}/v1/${path}`, {
      dispatcher: agent,
      method: isRecord ? 'POST' : 'PUT',
      headers: {'banyandrum-deadline-ms': String(deadlineMs)},
      body: token,
      signal: AbortSignal.timeout(deadlineMs + EXTRA_MS),
    });
    const text = await res.body.text();
    const {headers} = res;
    const requestId = headerOf(headers, 'banyandrum-request-id');
    const isOk = res.statusCode < 300;
    const expected = isRecord ? (requestId ?? token) : token;
    return {
      ...common,
      endMs: performance.now(),
      status: res.statusCode,
      verdict: headerOf(headers, 'banyandrum-verdict') ?? 'may-have-run',
      code: headerOf(headers, 'banyandrum-code') ?? 'ok',
      requestId,
      isOwn: !isOk || text.includes(expected),
    };
  } catch (err) {
    return {
      ...common,
      endMs: performance.now(),
      status: 0,
      verdict: 'may-have-run',
      code: (err as {code?: string}).code ?? String(err),
      requestId: null,
      isOwn: true,
    };
  }
}

function headerOf(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  name: string,
): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}
