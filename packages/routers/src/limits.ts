/** The longest piece of a body in one frame, in bytes. */
export const CHUNK_BYTES = 16 * 1024;

/** How many bytes of one body may be sent ahead of its reader. */
export const WINDOW_BYTES = 256 * 1024;

/** The longest message that is taken in, in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** The longest payload of a control message, in bytes. */
export const MAX_CONTROL_BYTES = 2 * 1024 * 1024;

/** The longest head of a request or an answer, in characters. */
export const MAX_HEAD_CHARS = 256 * 1024;

/** When to come back after a failure that a new connection may mend, in ms. */
export const RETRY_AFTER_MS = 100;

/** Times of a stream, in ms. */
export interface Timing {
  /** Between two heartbeats. */
  readonly heartbeatMs: number;
  /** Without any frame this long, a stream counts as silent. */
  readonly silentMs: number;
  /** For opening a connection, until the other side has greeted. */
  readonly openMs: number;
  /** How long a failed opening is remembered before the next is tried. */
  readonly reopenMs: number;
}

export const DEFAULT_TIMING: Timing = {
  heartbeatMs: 250,
  silentMs: 750,
  openMs: 750,
  reopenMs: 50,
};
