/**
 * Header fields that apply to one connection only (RFC 9110, section 7.6.1), or
 * that the HTTP client of each hop sets itself; in lower case.
 */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
