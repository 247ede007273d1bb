import {isIP, isIPv6} from 'node:net';

/** A numeric IP address and a port. */
export interface IpAddress {
  readonly ip: string;
  readonly port: number;
}

const MAX_PORT = 65_535;
const UNSPECIFIED = new Set(['0.0.0.0', '::']);

/**
 * Parses `ip:port` or `[ip6]:port`; null for anything else, including host
 * names. Port 0 (any free port) is accepted.
 *
 * @example
 * ```ts
 * parseAddress('127.0.0.1:8080'); // {ip: '127.0.0.1', port: 8080}
 * ```
 */
export function parseAddress(text: string): IpAddress | null {
  const match = /^(?:\[([^\]%]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text);
  if (match === null) return null;
  const port = Number(match[3]);
  if (port > MAX_PORT) return null;
  if (match[1] !== undefined) {
    return isIPv6(match[1]) ? {ip: canonicalIpv6(match[1]), port} : null;
  }
  const ip = match[2] ?? '';
  return isIP(ip) === 4 ? {ip, port} : null;
}

/** Whether clients can connect to it: not port 0 or a wildcard address. */
export function isReachable(address: IpAddress): boolean {
  return address.port !== 0 && !UNSPECIFIED.has(address.ip);
}

/** The canonical text of an address, so that equal addresses compare equal. */
export function formatAddress(address: IpAddress): string {
  const {ip, port} = address;
  return isIPv6(ip) ? `[${ip}]:${port}` : `${ip}:${port}`;
}

function canonicalIpv6(ip: string): string {
  return new URL(`http://[${ip}]`).hostname.slice(1, -1);
}
