/** Whether a request may run more than once on the backend servers. */
export type RequestKind = 'idempotent' | 'once';

/** One part of a route's traffic. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, relative to the other targets'. */
  readonly weight: number;
}

/** A route: what callers may ask below one path prefix of one host. */
export interface Route {
  readonly name: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** The longest time that a caller is kept waiting, in ms. */
  readonly timeoutMs: number;
  /** An answer within this time is worth most, in ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** One or more; their weights add up to more than 0. */
  readonly targets: readonly RouteTarget[];
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
}

/** What is the same for all backend servers of a service. */
export interface ServiceConfig {
  readonly name: string;
  /** Connections that each server accepts from all callers together. */
  readonly maxConnections: number;
  /** Whether each key belongs to one server. */
  readonly isKeyed: boolean;
}

/** Limits on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the routing configuration; never changed in place. */
export interface RoutingConfig {
  readonly version: number;
  /** Routes by host, in lower case, then by path prefix. */
  readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly services: ReadonlyMap<string, ServiceConfig>;
  readonly limits: CallerLimits;
}
