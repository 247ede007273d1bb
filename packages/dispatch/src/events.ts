/** Fields of a log event. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/**
 * Logs an event: a decision about a request, or a change in the state of a
 * server or request as known to this router. Must not block or throw.
 */
export type Emit = (event: string, fields: EventFields) => void;
