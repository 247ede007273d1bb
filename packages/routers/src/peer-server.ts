import grpc from '@grpc/grpc-js';
import {createClock, sleep} from '@banyandrum/base/clock.js';
import {createLogger} from '@banyandrum/base/logger.js';
import {DEFAULT_TIMING} from './limits.js';
import type {
  ControlKinds,
  PeerServer,
  PeerServerOptions,
  ServerLimits,
} from './peers.js';
import {startSession, type Session} from './session.js';
import {CHANNEL_OPTIONS, PEER_SERVICE, type ServerCall} from './wire.js';

const DEFAULT_LIMITS: ServerLimits = {streams: 256, requestsPerStream: 4096};

/**
 * Listens for the other routers.
 *
 * @throws Error where the address cannot be bound.
 *
 * @example
 * ```ts
 * const server = await createPeerServer({
 *   listen: '10.0.0.7:7500', self, handleRequest, handlers, schemas,
 * });
 * await server.close(2000);
 * ```
 */
export async function createPeerServer<M extends ControlKinds>(
  options: PeerServerOptions<M>,
): Promise<PeerServer> {
  const {clock = createClock(), log = createLogger('routers')} = options;
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  const sessions = new Set<Session>();
  let stopping = false;
  let onAllIdle = (): void => {};

  const onIdle = (): void => {
    if ([...sessions].every(session => session.count() === 0)) onAllIdle();
  };
  const talk = (call: ServerCall): void => {
    if (sessions.size >= limits.streams) {
      log.warn('refused a stream', {peer: call.getPeer()});
      call.emit('error', TOO_MANY_STREAMS);
      return;
    }
    const session = startSession({
      call,
      server: options,
      clock,
      log,
      timing,
      maxRequests: limits.requestsPerStream,
      isStopping: () => stopping,
      onIdle,
      onEnd: ended => {
        sessions.delete(ended);
        onIdle();
      },
    });
    sessions.add(session);
  };

  const server = new grpc.Server(CHANNEL_OPTIONS);
  server.addService(PEER_SERVICE, {talk});
  const address = await bind(server, options);

  const drain = async (graceMs: number): Promise<void> => {
    const grace = new AbortController();
    onAllIdle = () => grace.abort();
    onIdle();
    await sleep(clock, graceMs, grace.signal);
  };

  return {
    address,
    async close(graceMs) {
      stopping = true;
      const end = clock.now() + graceMs;
      await drain(graceMs);
      for (const session of [...sessions]) {
        if (session.count() === 0) void session.finish();
        else session.cut('router stopped');
      }
      const left = Math.max(LAST_WORDS_MS, end - clock.now());
      await shutDown(server, done => clock.after(left, done));
    },
  };
}

/** For the last messages to leave, where the grace is used up. */
const LAST_WORDS_MS = 250;

const TOO_MANY_STREAMS = {
  code: grpc.status.RESOURCE_EXHAUSTED,
  details: 'too many streams',
};

async function bind<M extends ControlKinds>(
  server: grpc.Server,
  {listen, credentials}: PeerServerOptions<M>,
): Promise<string> {
  const insecure = grpc.ServerCredentials.createInsecure();
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(listen, credentials ?? insecure, (err, bound) => {
      if (err === null) resolve(bound);
      else reject(err);
    });
  });
  return `${listen.slice(0, listen.lastIndexOf(':'))}:${port}`;
}

/** Lets the last messages leave, but waits no longer than `after` says. */
async function shutDown(
  server: grpc.Server,
  after: (done: () => void) => () => void,
): Promise<void> {
  await new Promise<void>(resolve => {
    const cancel = after(() => {
      server.forceShutdown();
      resolve();
    });
    server.tryShutdown(() => {
      cancel();
      resolve();
    });
  });
}
