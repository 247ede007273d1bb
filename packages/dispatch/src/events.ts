/** Fields of a log event. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/**
 * Logs an event: a decision about a request, or a change in what the router
 * believes about servers and requests. Must not block or throw.
 */
export type Emit = (event: string, fields: EventFields) => void;
