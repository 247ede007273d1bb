import type {Result} from '@banyandrum/base/result.js';

export type HostState = 'live' | 'leaving';
export type HostRole = 'router' | 'server';

/** An entry of the platform's host list, which may be out of date. */
export interface Host {
  readonly name: string;
  readonly role: HostRole;
  /** `ip:port`: of a router, where other routers connect to it. */
  readonly address: string;
  readonly dataCentre: string;
  readonly state: HostState;
}

export interface HostListError {
  readonly detail: string;
}

/** Client of the platform's list of live and leaving hosts. */
export interface HostListClient {
  list(signal?: AbortSignal): Promise<Result<readonly Host[], HostListError>>;
  close(): Promise<void>;
}
