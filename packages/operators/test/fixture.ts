import {ServiceBroker} from 'moleculer';
import {Registry} from 'prom-client';
import {createSilentLogger} from '@banyandrum/base/logger.js';
import {Err, Ok} from '@banyandrum/base/result.js';
import {digestToken} from '@banyandrum/base/access.js';
import type {
  Operator,
  OperatorActions,
  OperatorError,
  OperatorResult,
} from '@banyandrum/operators/actions.js';
import type {OperatorsClient} from '@banyandrum/operators/client.js';
import {createOperatorsClient} from '@banyandrum/operators/client.js';
import type {
  OperatorsConfig,
  OperatorsService,
} from '@banyandrum/operators/service.js';
import {createOperatorsService} from '@banyandrum/operators/service.js';
import type {ManualClock} from '@banyandrum/standins/manual-clock.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

export const VIEWER_TOKEN = 'viewer-token';
export const PUBLISHER_TOKEN = 'publisher-token';

export const PUBLISH = {
  changeId: 'c-1',
  basedOn: 3,
  reason: 'two more servers',
  inventoryToml: 'a = "\u00e9"\n',
  rulesToml: '',
};

/** A call that reached the actions. */
export interface SeenCall {
  readonly action: string;
  readonly operator: Operator | null;
  readonly args: readonly unknown[];
}

export interface Fixture {
  readonly clock: ManualClock;
  readonly origin: string;
  readonly seen: readonly SeenCall[];
  readonly service: OperatorsService;
  client(token: string): OperatorsClient;
  close(): Promise<void>;
}

export async function startOperators(
  overrides: Partial<OperatorActions> = {},
  settings: Partial<OperatorsConfig> = {},
): Promise<Fixture> {
  const clock = createManualClock();
  const seen: SeenCall[] = [];
  const service = createOperatorsService({
    listen: {ip: '127.0.0.1', port: 0},
    tokens: [
      token('vera', 'viewer', VIEWER_TOKEN),
      token('paul', 'publisher', PUBLISHER_TOKEN),
    ],
    actions: {...createActions(seen), ...overrides},
    metrics: new Registry(),
    health: {live: () => true, ready: () => false},
    log: createSilentLogger(),
    clock,
    ...settings,
  });
  const broker = new ServiceBroker({logger: false});
  broker.createService(service.schema);
  await broker.start();
  const address = service.address();
  const clients: OperatorsClient[] = [];
  return {
    clock,
    origin: `http://${address}`,
    seen,
    service,
    client: token => {
      const client = createOperatorsClient({address, token});
      clients.push(client);
      return client;
    },
    close: async () => {
      await Promise.all(clients.map(client => client.close()));
      await finish(clock, broker.stop());
    },
  };
}

/** Moves time on until the task has ended. */
export async function finish<T>(
  clock: ManualClock,
  task: Promise<T>,
): Promise<T> {
  let ended = false;
  const done = task.finally(() => {
    ended = true;
  });
  while (!ended) await clock.advance(100);
  return done;
}

export function failing(error: OperatorError): () => OperatorResult<never> {
  return async () => Err(error);
}

function token(
  operator: string,
  role: Operator['role'],
  text: string,
): OperatorsConfig['tokens'][number] {
  return {operator, role, sha256: digestToken(text)};
}

function createActions(seen: SeenCall[]): OperatorActions {
  const note = (
    action: string,
    operator: Operator | null,
    ...args: unknown[]
  ): void => {
    seen.push({action, operator, args});
  };
  const audit = {
    offset: 4,
    kind: 'publication',
    changeId: 'c-1',
    author: 'paul',
    reason: 'two more servers',
    at: '2025-01-01T00:00:00Z',
    outcome: 'accepted',
    detail: '',
  } as const;
  return {
    state: async () => {
      note('state', null);
      const state = {version: 3, publication: null, next: 9, drains: ['s-1']};
      return Ok({...state, confirmedAgeMs: 12});
    },
    publication: async () => Err({kind: 'not-found', detail: 'none yet'}),
    publish: async (operator, req) => {
      note('publish', operator, req);
      return Ok({changeId: req.changeId, offset: 4});
    },
    change: async changeId => {
      note('change', null, changeId);
      return Ok(audit);
    },
    history: async limit => {
      note('history', null, limit);
      return Ok({entries: [audit]});
    },
    drain: async (operator, req) => {
      note('drain', operator, req);
      return Ok({changeId: req.changeId, offset: 5});
    },
    attest: async (operator, req) => {
      note('attest', operator, req);
      return Ok({changeId: req.changeId, offset: 6});
    },
    status: async () =>
      Ok({host: 'entry-1', version: 3, routers: [], cells: []}),
    explain: async (service, key) => {
      note('explain', null, service, key);
      const nobody = {shard: null, leader: null, standby: null, owner: null};
      const cell = `${service}/0`;
      return Ok({
        service,
        key,
        cell,
        epoch: 0,
        ...nobody,
        steps: ['no leader'],
      });
    },
    setLogLevel: async (operator, level) => {
      note('setLogLevel', operator, level);
      return Ok(level);
    },
    async *watch() {
      // No events.
    },
  };
}
