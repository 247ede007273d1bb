/** Which server holds a key, as far as this router knows. */
export type Owner =
  /** The server's id. */
  | {readonly kind: 'held'; readonly server: string}
  /** On its way to another server. */
  | {readonly kind: 'moving'}
  /** Nobody is known to hold it. */
  | {readonly kind: 'none'};

/** Ownership of keys as requests see it. */
export interface Owners {
  ownerOf(service: string, key: number): Owner;
  /** Resolves when the service's ownership changed, or after `ms`. */
  waitForChange(service: string, ms: number): Promise<void>;
  /** A request for the key was sent; placement follows such counts. */
  noteRequest(service: string, key: number): void;
  /** The server said that it doesn't hold the key. */
  noteNotHeld(service: string, key: number, server: string): void;
  /** Another run of a server answers at the server's address. */
  noteReplaced(server: string): void;
}
