/** Owner of a key, as far as this router knows. */
export type Owner =
  /** `server` is the id of the server instance. */
  | {readonly kind: 'held'; readonly server: string}
  /** Ownership is being moved to another server. */
  | {readonly kind: 'moving'}
  /** No owner is known. */
  | {readonly kind: 'none'};

/** Ownership of keys, as used for forwarding requests. */
export interface Owners {
  ownerOf(service: string, key: number): Owner;
  /**
   * Resolves when ownership in the service changes, at the latest after `ms`.
   */
  waitForChange(service: string, ms: number): Promise<void>;
  /** Counts a request for the key; the counts are used for placing keys. */
  noteRequest(service: string, key: number): void;
  /** Records that the server answered that it doesn't hold the key. */
  noteNotHeld(service: string, key: number, server: string): void;
  /**
   * Time until the key may be requested again from its owner, in ms, because
   * the owner answered that it doesn't hold it; 0 if it may be now.
   */
  notHeldMs(service: string, key: number): number;
  /** Records that another instance answers at the server's address. */
  noteReplaced(server: string): void;
}
