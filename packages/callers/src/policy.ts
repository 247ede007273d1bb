/** What the rules say about one kind of request. */
export interface RequestPolicy {
  /** Whether the service is in the inventory in force. */
  readonly known: boolean;
  /** Not to be repeated. */
  readonly once: boolean;
  /** Index into the levels of the rules; 0 goes first. */
  readonly precedence: number;
  /** Deadline where the caller names none, in ms. */
  readonly deadlineMs: number;
  /** Longest deadline a caller may ask for, in ms. */
  readonly maxDeadlineMs: number;
  readonly maxBodyBytes: number;
}

/** Looks the policy of a request up; called once for each request. */
export type PolicyLookup = (
  service: string,
  method: string,
  path: string,
) => RequestPolicy;
