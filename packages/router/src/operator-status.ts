import type {Clock} from '@banyandrum/base/clock.js';
import {cellOfKey} from '@banyandrum/base/hash.js';
import type {CellId, Incarnation} from '@banyandrum/base/ids.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {versionOf} from '@banyandrum/config/fold.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {HostWatch} from '@banyandrum/hosts/watch.js';
import type {Host} from '@banyandrum/hosts/client.js';
import type {OperatorActions} from '@banyandrum/operators/actions.js';
import type {CellStatus, RouterStatus} from '@banyandrum/operators/messages.js';
import type {Described, RouterPeers} from './control.js';
import type {Describer} from './describe.js';
import type {ServiceLookup} from './topology.js';

export interface StatusOptions {
  readonly self: Incarnation;
  readonly store: StateStore;
  readonly hostWatch: HostWatch;
  readonly peers: RouterPeers;
  readonly describer: Describer;
  readonly serviceOf: ServiceLookup;
  readonly clock: Clock;
}

/** The operators' questions that several routers answer together. */
export interface Status {
  readonly read: OperatorActions['status'];
  readonly explain: OperatorActions['explain'];
}

/** How long another router may take to tell about itself, in ms. */
const ANSWER_MS = 1_000;

interface Answered {
  readonly status: RouterStatus;
  readonly cells: readonly CellStatus[];
}

/**
 * Makes the status of the whole system as this process can learn it: routers
 * that don't answer in time are listed without a version.
 *
 * @example
 * ```ts
 * const status = await createStatus(options).read();
 * ```
 */
export function createStatus(options: StatusOptions): Status {
  const {self, store, describer, serviceOf} = options;
  return {
    read: async () => {
      const hosts = otherRouters(options);
      const others = await Promise.all(
        hosts.map(host => askRouter(options, host)),
      );
      const own = toAnswered(
        options,
        ownHost(self),
        self,
        describer.describe(),
      );
      const answered = [own, ...others];
      return Ok({
        host: self.host,
        version: versionOf(store.current()),
        routers: answered.map(({status}) => status),
        cells: mergeCells(options, answered),
      });
    },
    explain: async (service, key) => {
      const found = serviceOf(service);
      if (found === null) {
        return Err({kind: 'not-found', detail: `no service ${service}`});
      }
      const cell = cellOfKey(service, key, found.shards, found.cells);
      const own = describer.explain(service, key)!;
      const leader = store.current().views.get(cell)?.leader;
      if (leader === undefined || leader.boot === self.boot) return Ok(own);
      const ask = {service, key};
      const answer = await options.peers.ask(leader, 'explain', ask, ANSWER_MS);
      if (answer.ok) return Ok(answer.val);
      const step = `${leader.host} does not answer: ${answer.val.detail}`;
      return Ok({...own, steps: [...own.steps, step]});
    },
  };
}

function otherRouters({self, hostWatch}: StatusOptions): readonly Host[] {
  const hosts = hostWatch.current() ?? [];
  return hosts.filter(
    ({role, name}) => role === 'router' && name !== self.host,
  );
}

function ownHost(
  self: Incarnation,
): Pick<Host, 'name' | 'address' | 'dataCentre'> {
  const {host, address, dataCentre} = self;
  return {name: host, address, dataCentre};
}

async function askRouter(
  options: StatusOptions,
  host: Host,
): Promise<Answered> {
  const {peers} = options;
  const found = await peers.probe(host.address, ANSWER_MS);
  if (found.err) return toAnswered(options, host, null, null);
  const answer = await peers.ask(found.val, 'describe', {}, ANSWER_MS);
  const described = answer.ok ? answer.val : null;
  return toAnswered(options, host, found.val, described);
}

function toAnswered(
  {store}: StatusOptions,
  host: Pick<Host, 'name' | 'address' | 'dataCentre'>,
  run: Incarnation | null,
  described: Described | null,
): Answered {
  const status = {
    host: host.name,
    address: host.address,
    dataCentre: host.dataCentre,
    boot: run?.boot ?? null,
    version: described?.version ?? null,
    heardAgeMs: described === null ? null : 0,
    draining: store.current().drains.has(host.name),
  };
  return {status, cells: described?.cells ?? []};
}

/** One entry a cell; the leader of the newest epoch knows its shards best. */
function mergeCells(
  {store}: StatusOptions,
  answered: readonly Answered[],
): readonly CellStatus[] {
  const cells = new Map<CellId, CellStatus>();
  for (const view of store.current().views.values()) {
    cells.set(view.cell, {
      cell: view.cell,
      epoch: view.epoch,
      leader: view.leader.host,
      standby: view.standby?.host ?? null,
      shards: [],
      servers: [],
    });
  }
  for (const told of answered.flatMap(({cells: led}) => led)) {
    const known = cells.get(told.cell);
    if (known === undefined || told.epoch >= known.epoch) {
      cells.set(told.cell, told);
    }
  }
  return [...cells.values()].sort((a, b) => (a.cell < b.cell ? -1 : 1));
}
