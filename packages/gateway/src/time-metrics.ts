import {Gauge, type Registry} from 'prom-client';
import type {RequestTimes} from './request-times.js';

/** What the gauges of request times read. */
export interface TimeMetricsSource {
  readonly requestTimes: Pick<RequestTimes, 'routeTimes' | 'servers'>;
  isLeading(): boolean;
}

/**
 * Series of one gauge, which bounds them: configurations may have hundreds of
 * routes, and deployments hundreds of servers.
 */
const MAX_SERIES = 500;

/**
 * Adds gauges of the times by route and server. Only the leader has values, as
 * only it learns of all requests.
 */
export function addTimeMetrics(
  registry: Registry,
  {requestTimes, isLeading}: TimeMetricsSource,
): void {
  const registers = [registry];
  const routes: Gauge = new Gauge({
    name: 'banyandrum_route_service_seconds',
    help: 'Usual time of a route’s requests at a server of mean speed',
    labelNames: ['service', 'route'],
    registers,
    collect() {
      routes.reset();
      if (!isLeading()) return;
      const times = requestTimes.routeTimes().slice(0, MAX_SERIES);
      for (const {service, route, ms} of times)
        routes.set({service, route}, ms / 1_000);
    },
  });
  const servers: Gauge = new Gauge({
    name: 'banyandrum_server_slowness',
    help: 'Usual time at the server relative to the mean of its service',
    labelNames: ['service', 'server'],
    registers,
    collect() {
      servers.reset();
      if (!isLeading()) return;
      const known = requestTimes.servers().slice(0, MAX_SERIES);
      for (const {service, server, slowness} of known)
        servers.set({service, server}, slowness);
    },
  });
}
