/** Values of one event. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/**
 * Takes a line for each decision that touches a request or changes a belief.
 * Must not block and must not throw.
 */
export type Emit = (event: string, fields: EventFields) => void;
