import {createClock, sleep, type Clock} from '@banyandrum/base/clock.js';
import type {Host} from '@banyandrum/hosts/client.js';
import {z} from 'zod';
import {
  createFaultyListener,
  DOWN_MODES,
  jsonReply,
  type DownMode,
  type StandinReply,
  type StandinRequest,
} from './faulty-listener.js';
import {parseJsonBody} from './json-body.js';

export interface HostListStandinOptions {
  readonly clock?: Clock;
  readonly hosts?: readonly Host[];
  /** How long an update takes to become visible, in ms. */
  readonly lagMs?: number;
}

/** What happens to a list asked for. */
export const LIST_FAULTS = [
  'none',
  'junk',
  'wrong-shape',
  'twice',
  'cut',
  'oversize',
  'failed',
] as const;
export type ListFault = (typeof LIST_FAULTS)[number];

export interface HostListFaults {
  readonly down: DownMode;
  readonly list: ListFault;
  /** How long an answer is held back, in ms. */
  readonly delayMs: number;
  readonly lagMs: number;
}

/** The platform's lagging host list, in memory. */
export interface HostListStandin {
  /** `127.0.0.1:port` of the list itself. */
  readonly address: string;
  /**
   * `127.0.0.1:port` of `PUT /standin/hosts` (`{"hosts": [...]}`, the whole
   * list) and `POST /standin/faults`; both work while the list is down.
   */
  readonly controlAddress: string;
  /** Adds a host or replaces the one of that name; visible after the lag. */
  set(host: Host): void;
  /** Removes a host; visible after the lag. */
  remove(name: string): void;
  /** Replaces the whole list; visible after the lag. */
  replace(hosts: readonly Host[]): void;
  /** The list as clients see it now. */
  visible(): readonly Host[];
  setFaults(change: Partial<HostListFaults>): Promise<void>;
  close(): Promise<void>;
}

/** Just beyond what the clients accept unless told otherwise. */
const OVERSIZE_BYTES = 17 * 1024 * 1024;

const HOSTS_SCHEMA = z.object({
  hosts: z.array(
    z.object({
      name: z.string(),
      role: z.enum(['router', 'server']),
      address: z.string(),
      dataCentre: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

const FAULTS_SCHEMA = z
  .strictObject({
    down: z.enum(DOWN_MODES),
    list: z.enum(LIST_FAULTS),
    delayMs: z.number().nonnegative(),
    lagMs: z.number().nonnegative(),
  })
  .partial();

/**
 * Starts a host list on a free port of 127.0.0.1. The hosts it starts with
 * are visible at once.
 *
 * @example
 * ```ts
 * const list = await createHostListStandin({hosts, lagMs: 500});
 * list.remove('server-3'); // gone for clients 500 ms later
 * ```
 */
export async function createHostListStandin(
  options: HostListStandinOptions = {},
): Promise<HostListStandin> {
  const clock = options.clock ?? createClock();
  let truth = options.hosts ?? [];
  let visible = truth;
  let faults: HostListFaults = {
    down: 'none',
    list: 'none',
    delayMs: 0,
    lagMs: options.lagMs ?? 0,
  };

  const update = (hosts: readonly Host[]): void => {
    truth = hosts;
    if (faults.lagMs === 0) {
      visible = hosts;
      return;
    }
    clock.after(faults.lagMs, () => {
      visible = hosts;
    });
  };

  const listener = await createFaultyListener(async req => {
    if (req.method !== 'GET' || req.url.pathname !== '/v1/hosts') {
      return jsonReply(404, {});
    }
    const reply = LIST_REPLIES[faults.list](visible);
    if (faults.delayMs > 0) await sleep(clock, faults.delayMs);
    return reply;
  });

  const setFaults = async (change: Partial<HostListFaults>): Promise<void> => {
    faults = {...faults, ...change};
    await listener.setDown(faults.down);
  };

  const control = await createFaultyListener(async req => {
    const handler = CONTROLS[`${req.method} ${req.url.pathname}`];
    if (handler === undefined) return jsonReply(404, {});
    return handler(req, {update, setFaults});
  });

  return {
    address: listener.address,
    controlAddress: control.address,
    set(host) {
      update([...truth.filter(({name}) => name !== host.name), host]);
    },
    remove(name) {
      update(truth.filter(host => host.name !== name));
    },
    replace: update,
    visible: () => visible,
    setFaults,
    async close() {
      await listener.close();
      await control.close();
    },
  };
}

interface ControlTarget {
  update(hosts: readonly Host[]): void;
  setFaults(change: Partial<HostListFaults>): Promise<void>;
}

type ControlHandler = (
  req: StandinRequest,
  target: ControlTarget,
) => Promise<StandinReply>;

const CONTROLS: Readonly<Record<string, ControlHandler>> = {
  'PUT /standin/hosts': async (req, target) => {
    const parsed = HOSTS_SCHEMA.safeParse(parseJsonBody(req.body));
    if (!parsed.success) return jsonReply(400, {});
    target.update(parsed.data.hosts);
    return jsonReply(200, {});
  },
  'POST /standin/faults': async (req, target) => {
    const parsed = FAULTS_SCHEMA.safeParse(parseJsonBody(req.body));
    if (!parsed.success) return jsonReply(400, {});
    await target.setFaults(parsed.data as Partial<HostListFaults>);
    return jsonReply(200, {});
  },
};

const LIST_REPLIES: Readonly<
  Record<ListFault, (hosts: readonly Host[]) => StandinReply>
> = {
  none: hosts => jsonReply(200, {hosts}),
  junk: () => ({kind: 'text', status: 200, text: '<html>\u0000'}),
  'wrong-shape': hosts =>
    jsonReply(200, {hosts: [...hosts, {name: 'nameless', role: 'king'}]}),
  twice: hosts => jsonReply(200, {hosts: [...hosts, ...hosts]}),
  cut: hosts => ({kind: 'cut', status: 200, text: JSON.stringify({hosts})}),
  oversize: hosts => ({
    kind: 'text',
    status: 200,
    text: JSON.stringify({hosts}) + ' '.repeat(OVERSIZE_BYTES),
  }),
  failed: () => jsonReply(500, {}),
};
