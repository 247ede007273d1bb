import type {Result} from '@banyandrum/base/result.js';

export type HostState = 'live' | 'leaving';
export type HostRole = 'router' | 'server';

/** An entry of the platform's host list; the list lags behind the truth. */
export interface Host {
  readonly name: string;
  readonly role: HostRole;
  /** `ip:port`: a router's interface for peers, a server's own address. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: HostState;
}

export interface HostListError {
  readonly detail: string;
}

/** The platform's lagging list of live and leaving hosts. */
export interface HostListClient {
  list(signal?: AbortSignal): Promise<Result<readonly Host[], HostListError>>;
  close(): Promise<void>;
}
