import {parseAddress} from '@banyandrum/base/address.js';
import type {ArgsDef} from 'citty';
import type {CliArgs, CliIo} from './cli.js';
import {CliError} from './cli.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {CONNECTION_ARGS, required} from './session.js';

/** A request during which servers crashed, as a router reports it. */
export interface SuspectMessage {
  readonly content: string;
  readonly scope: string;
  readonly caller: string;
  readonly service: string;
  readonly route: string;
  readonly round: number;
  readonly strikes: readonly {
    readonly server: string;
    readonly isTrial: boolean;
  }[];
  readonly isQuarantined: boolean;
  readonly cleared: {
    readonly by: string;
    readonly reason: string;
    readonly at: number;
  } | null;
}

/** Options of the commands for routers on the users' platform. */
export const ROUTER_ARGS = {
  router: {
    type: 'string',
    description: "IP:PORT of a router's interface for metrics",
    valueHint: 'BANYANDRUM_ROUTER',
  },
  token: CONNECTION_ARGS.token,
  json: CONNECTION_ARGS.json,
} as const satisfies ArgsDef;

/** Timeout of a call to a router, in ms. */
const TIMEOUT_MS = 5_000;

const EXIT_OF_STATUS: Readonly<Record<number, ExitCode>> = {
  400: EXIT.usage,
  401: EXIT.refused,
  403: EXIT.refused,
  404: EXIT.refused,
  413: EXIT.usage,
};

/** Calls the router given by the options or the environment. */
export async function askRouter<T>(
  args: CliArgs,
  io: CliIo,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<T> {
  const address = required(args, io, 'router', 'BANYANDRUM_ROUTER');
  const token = required(args, io, 'token', 'BANYANDRUM_TOKEN');
  if (parseAddress(address) === null) {
    const message = `--router: expected IP:PORT, found "${address}"`;
    throw new CliError(EXIT.usage, message);
  }
  const res = await io
    .fetch(`http://${address}${path}`, {
      method,
      headers: {authorization: `Bearer ${token}`},
      signal: AbortSignal.timeout(TIMEOUT_MS),
      ...(body !== undefined && {body: JSON.stringify(body)}),
    })
    .catch((err: Error) => {
      throw new CliError(EXIT.unavailable, `no answer: ${err.message}`);
    });
  const response = (await res.json().catch(() => ({}))) as T & {
    detail?: string;
  };
  if (res.ok) return response;
  const code = EXIT_OF_STATUS[res.status] ?? EXIT.unavailable;
  throw new CliError(code, response.detail ?? `status ${res.status}`);
}
