/** Whether a request may be executed more than once by backend servers. */
export type RequestKind = 'idempotent' | 'once';

/** A service that gets a share of a route's traffic. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the route's requests, relative to the other targets' weights. */
  readonly weight: number;
}

/** A route: handles requests below one path prefix of one host. */
export interface Route {
  readonly name: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time until the caller gets a response, in ms. */
  readonly timeoutMs: number;
  /** Responses within this time have full value to callers, in ms. */
  readonly targetLatencyMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** At least one; the sum of their weights is positive. */
  readonly targets: readonly RouteTarget[];
  /** Maximum number of attempts at backend servers per request. */
  readonly maxAttempts: number;
  /** Regions that its requests must not leave; null if they may go anywhere. */
  readonly homeRegions: readonly string[] | null;
}

/** Properties that all backend servers of a service share. */
export interface ServiceConfig {
  readonly name: string;
  /** Connections that each server accepts in total. */
  readonly maxConnections: number;
  /** Whether each key is owned by one server. */
  readonly isKeyed: boolean;
  /** How long a server is cold after its start, in ms; 0 if it never is. */
  readonly coldMs: number;
  /**
   * Requests per second that a cold server bears from all routers together; null
   * if that is unknown.
   */
  readonly coldPerSecond: number | null;
  /** Path of its servers' health endpoint; absent if they have none. */
  readonly healthPath?: string;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the routing configuration; immutable. */
export interface RoutingConfig {
  readonly version: number;
  /** Routes by host, in lower case, then by path prefix. */
  readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly services: ReadonlyMap<string, ServiceConfig>;
  readonly limits: CallerLimits;
}
