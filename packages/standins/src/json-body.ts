/**
 * The JSON in a request's body, or undefined where it holds none.
 *
 * @example
 * ```ts
 * const parsed = SCHEMA.safeParse(parseJsonBody(req.body));
 * ```
 */
export function parseJsonBody(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString()) as unknown;
  } catch {
    return undefined;
  }
}
