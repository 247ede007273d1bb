/** Number of routers that share the servers, as far as this router knows. */
export interface RouterTotal {
  /** Null until a leader has told it. */
  current(): number | null;
  /** Time since a leader last told it, in ms; infinite if none ever did. */
  ageMs(): number;
}
