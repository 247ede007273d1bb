import type {ServiceRequest} from '@banyandrum/base/request.js';
import type {ServerClient} from '@banyandrum/servers/client.js';
import {
  createLeaderQueues,
  type LeaderQueues,
} from '@banyandrum/requests/leader-queues.js';
import type {LeaderQueue} from '@banyandrum/requests/queue.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';
import {
  fakeCell,
  fakeClient,
  request,
  RULES,
  server,
  watch,
  type FakeCell,
  type FakeClient,
  type Outcome,
  type TestRules,
} from './fakes.js';

/** One led cell with one server, `s1`, both controlled by the test. */
export interface QueueBench {
  readonly clock: ManualClock;
  readonly client: FakeClient;
  readonly led: FakeCell;
  readonly queues: LeaderQueues;
  readonly queue: LeaderQueue;
  ask(over?: Partial<ServiceRequest>): {readonly outcome: Outcome | null};
}

export interface BenchOptions {
  readonly slots?: number;
  readonly rules?: TestRules;
  /** Replaces the client whose answers the test controls. */
  readonly send?: ServerClient['send'];
}

export function queueBench(options: BenchOptions = {}): QueueBench {
  const clock = createManualClock();
  const client = fakeClient();
  const led = fakeCell(server('s1', options.slots ?? 2));
  const queues = createLeaderQueues({
    client: options.send ? {send: options.send} : client,
    rules: () => options.rules ?? RULES,
    clock,
  });
  const queue = queues.lead(led);
  const ask: QueueBench['ask'] = over => watch(queue.handle(request(over)));
  return {clock, client, led, queues, queue, ask};
}
