import type {IncomingMessage} from 'node:http';
import type {CellId, Fence, ShardId} from '@banyandrum/base/ids.js';
import type {Stamp} from '@banyandrum/servers/client.js';
import * as names from '@banyandrum/servers/headers.js';

/** What a server reads from a request's head. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  readonly service: string;
  readonly key: string;
  /** What follows the key, without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly cell: CellId;
  readonly shard: ShardId;
  readonly fence: Fence;
  /** On the server's own clock. */
  readonly deadline: Stamp;
  /** On the server's own clock; it may not arrive later. */
  readonly startBy: Stamp;
  readonly once: boolean;
}

const TARGET = /^\/([^/?]*)\/([^/?]*)([^?]*)(?:\?(.*))?$/;
const FENCE = /^(\d+)\.(\d+)$/;
const STAMP = /^(.+)\.(-?\d+)$/;

/**
 * Reads a request's head; null where a part is missing or malformed.
 *
 * @example
 * ```ts
 * const head = parseHead(req);
 * if (head === null) return refuse(res, 400);
 * ```
 */
export function parseHead(req: IncomingMessage): RequestHead | null {
  try {
    return readHead(req);
  } catch {
    // Malformed percent-encoding.
    return null;
  }
}

function readHead(req: IncomingMessage): RequestHead | null {
  const target = TARGET.exec(req.url ?? '');
  const fence = FENCE.exec(field(req, names.FENCE));
  const deadline = readStamp(req, names.DEADLINE);
  const startBy = readStamp(req, names.START_BY);
  const requestId = field(req, names.REQUEST_ID);
  if (!target || !fence || !deadline || !startBy || !requestId) return null;
  return {
    requestId,
    method: req.method ?? '',
    service: decodeURIComponent(target[1] ?? ''),
    key: decodeURIComponent(target[2] ?? ''),
    path: target[3] ?? '',
    query: new URLSearchParams(target[4] ?? ''),
    cell: decodeURIComponent(field(req, names.CELL)),
    shard: decodeURIComponent(field(req, names.SHARD)),
    fence: {epoch: Number(fence[1]), sequence: Number(fence[2])},
    deadline,
    startBy,
    once: field(req, names.ONCE) === '1',
  };
}

function readStamp(req: IncomingMessage, name: string): Stamp | null {
  const stamp = STAMP.exec(field(req, name));
  return stamp && {boot: stamp[1] ?? '', ms: Number(stamp[2])};
}

function field(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}
