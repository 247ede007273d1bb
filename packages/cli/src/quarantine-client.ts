import {parseAddress} from '@banyandrum/base/address.js';
import type {ArgsDef} from 'citty';
import type {CliArgs, CliIo} from './cli.js';
import {CliError} from './cli.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {CONNECTION_ARGS, required} from './session.js';

/** A request under which servers ended, as a router shows it. */
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

/** Options of the commands that ask a router on the users' platform. */
export const ROUTER_ARGS = {
  router: {
    type: 'string',
    description: "IP:PORT of a router's interface for metrics",
    valueHint: 'BANYANDRUM_ROUTER',
  },
  token: CONNECTION_ARGS.token,
  json: CONNECTION_ARGS.json,
} as const satisfies ArgsDef;

const WITHIN_MS = 5_000;

const EXIT_OF_STATUS: Readonly<Record<number, ExitCode>> = {
  400: EXIT.usage,
  401: EXIT.refused,
  403: EXIT.refused,
  404: EXIT.refused,
  413: EXIT.usage,
};

/** Asks the router that the options or the environment name. */
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
      signal: AbortSignal.timeout(WITHIN_MS),
      ...(body !== undefined && {body: JSON.stringify(body)}),
    })
    .catch((err: Error) => {
      throw new CliError(EXIT.unavailable, `no answer: ${err.message}`);
    });
  const told = (await res.json().catch(() => ({}))) as T & {detail?: string};
  if (res.ok) return told;
  const code = EXIT_OF_STATUS[res.status] ?? EXIT.unavailable;
  throw new CliError(code, told.detail ?? `status ${res.status}`);
}
