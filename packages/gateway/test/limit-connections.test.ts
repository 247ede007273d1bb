import tap from 'tap';
import type {Backends} from '@banyandrum/dispatch/backends.js';
import {limitConnections} from '@banyandrum/gateway/limit-connections.js';
import type {ServiceConfig} from '@banyandrum/routing/config.js';

// Guards against a router that knows no others and takes all connections that a
// server accepts, so that it resets those of the others.
void tap.test('connections of a server are shared by the routers', async t => {
  const services = new Map([['holds', {maxConnections: 110} as ServiceConfig]]);
  let limitOf: (service: string) => number = () => 0;
  const backends = {
    setConnectionLimit: (next: typeof limitOf) => void (limitOf = next),
  } as unknown as Backends;
  const cases = [
    [1, 106],
    [9, 11],
    [null, 2],
  ] as const;
  for (const [routers, limit] of cases) {
    limitConnections(backends, services, routers);
    t.equal(limitOf('holds'), limit, `${routers} routers`);
  }
});
