import type {Clock} from '@banyandrum/base/clock.js';
import type {Incarnation} from '@banyandrum/base/ids.js';
import type {Result} from '@banyandrum/base/result.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {ownershipSchemas} from '@banyandrum/ownership/control.js';
import type {
  OwnershipControl,
  OwnershipPeers,
} from '@banyandrum/ownership/control.js';
import type {ControlHandlers, PeerError} from '@banyandrum/routers/peers.js';
import type {FakeProcess} from './process.js';

/** One-way links between the hosts and the log, each of which can be cut. */
export interface Network {
  /** Latency of a message, in ms; tests may replace it. */
  latency: (from: string, to: string) => number;
  cut(from: string, to: string): void;
  restore(from: string, to: string): void;
  heal(): void;
  /** Whether a host's requests reach another; doesn't affect answers. */
  allowsRequests: (from: string, to: string) => boolean;
  /** Sends a message; it is lost if the link is cut on departure or arrival. */
  send(from: string, to: string, task: () => void): void;
  /** Delays the delivery of a message further. */
  delay(ms: number, task: () => void): void;
}

export function createNetwork(clusterClock: Clock): Network {
  const cuts = new Set<string>();
  const isCut = (from: string, to: string): boolean =>
    cuts.has(`${from}>${to}`);
  const network: Network = {
    latency: () => 2,
    allowsRequests: () => true,
    cut: (from, to) => void cuts.add(`${from}>${to}`),
    restore: (from, to) => void cuts.delete(`${from}>${to}`),
    heal: () => cuts.clear(),
    delay: (ms, task) => void clusterClock.after(ms, task),
    send(from, to, task) {
      if (isCut(from, to)) return;
      clusterClock.after(network.latency(from, to), () => {
        if (!isCut(from, to)) task();
      });
    },
  };
  return network;
}

/** The router at an address, as the network sees it. */
export interface Endpoint {
  readonly process: FakeProcess;
  readonly handlers: () => ControlHandlers<OwnershipControl>;
}

type Kind = keyof OwnershipControl & string;

/** Creates the client of one process for the endpoints, by address. */
export function createFakePeers(
  process: FakeProcess,
  network: Network,
  endpoints: ReadonlyMap<string, Endpoint>,
): OwnershipPeers {
  const self = process.incarnation;

  // Resolves with the answer or on the timeout, whichever comes first.
  const exchange = <T>(
    address: string,
    timeoutMs: number,
    serve: (endpoint: Endpoint) => Promise<Result<T, PeerError>>,
  ): Promise<Result<T, PeerError>> =>
    new Promise(resolve => {
      const cancel = process.clock.after(timeoutMs, () =>
        resolve(failed('silent')),
      );
      const finish = (res: Result<T, PeerError>): void => {
        cancel();
        resolve(res);
      };
      const endpoint = endpoints.get(address);
      if (!endpoint) return;
      const remote = endpoint.process.incarnation.host;
      if (!network.allowsRequests(self.host, remote)) return;
      network.send(self.host, remote, () => {
        const target = endpoints.get(address);
        target?.process.deliver(() => {
          void serve(target).then(res => {
            network.send(remote, self.host, () =>
              process.deliver(() => finish(res)),
            );
          });
        });
      });
    });

  const handle = async <K extends Kind>(
    endpoint: Endpoint,
    to: Incarnation,
    kind: K,
    ask: OwnershipControl[K]['ask'],
  ): Promise<Result<OwnershipControl[K]['answer'], PeerError>> => {
    const remote = endpoint.process.incarnation;
    if (remote.boot !== to.boot) return failed('other-incarnation', remote);
    const {ask: askSchema, answer: answerSchema} = ownershipSchemas[kind];
    const parsed = askSchema.parse(jsonRoundTrip(ask));
    const handler = endpoint.handlers()[kind] as (
      from: Incarnation,
      ask: unknown,
    ) => Promise<unknown>;
    const answer = await handler(self, parsed);
    return Ok(
      answerSchema.parse(
        jsonRoundTrip(answer),
      ) as OwnershipControl[K]['answer'],
    );
  };

  return {
    ask: (to, kind, ask, timeoutMs) =>
      exchange(to.address, timeoutMs, endpoint =>
        handle(endpoint, to, kind, ask),
      ),
    probe: (address, timeoutMs) =>
      exchange(address, timeoutMs, async ({process: {incarnation}}) =>
        Ok(incarnation),
      ),
  };
}

function jsonRoundTrip(data: unknown): unknown {
  return JSON.parse(JSON.stringify(data));
}

function failed(
  kind: PeerError['kind'],
  found?: Incarnation,
): Result<never, PeerError> {
  return Err(found ? {kind, detail: kind, found} : {kind, detail: kind});
}
