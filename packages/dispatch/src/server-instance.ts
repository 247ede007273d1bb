/**
 * Instances of backend servers. After a restart, a server is a new instance,
 * and no state is kept for it, even if its name is the same. If a server's name
 * is kept across restarts, the instance id is its name with the start time.
 */

const INSTANCE_ID = /^(?<name>.+)~(?<born>\d{1,15})$/s;

/**
 * Returns the id of the instance of `name` that started at `startedAtMs`, in ms
 * since 1970.
 *
 * @example
 * ```ts
 * const id = instanceId('i-7f3a91c2', 1_796_000_000_000);
 * ```
 */
export function instanceId(name: string, startedAtMs: number): string {
  return `${name}~${startedAtMs}`;
}

/** Returns the server name that the instance sends in its answers. */
export function serverName(id: string): string {
  return INSTANCE_ID.exec(id)?.groups?.['name'] ?? id;
}

/** Returns the start time in ms since 1970; null if the id is just a name. */
export function instanceStartedAt(id: string): number | null {
  const startedAt = INSTANCE_ID.exec(id)?.groups?.['born'];
  return startedAt === undefined ? null : Number(startedAt);
}

/**
 * Whether `name`, as sent in an answer, isn't the server name of instance `id`.
 */
export function isOtherServer(id: string, name: string | undefined): boolean {
  return name !== undefined && name !== serverName(id);
}
