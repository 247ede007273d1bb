/**
 * Runs of backend servers. A server that starts again is another one for all
 * that is believed of it, also where it answers by the name that it had: then
 * the id of a run is that name with the moment of its start.
 */

const INSTANCE_ID = /^(?<name>.+)~(?<born>\d{1,15})$/s;

/**
 * The id of the run of `name` that began at `bornMs`, in ms since 1970.
 *
 * @example
 * ```ts
 * const id = runId('i-7f3a91c2', 1_796_000_000_000);
 * ```
 */
export function instanceId(name: string, bornMs: number): string {
  return `${name}~${bornMs}`;
}

/** The name by which the run answers. */
export function serverName(id: string): string {
  return INSTANCE_ID.exec(id)?.groups?.['name'] ?? id;
}

/** When the run began, in ms since 1970; null where its name tells it alone. */
export function instanceStartedAt(id: string): number | null {
  const born = INSTANCE_ID.exec(id)?.groups?.['born'];
  return born === undefined ? null : Number(born);
}

/** Whether `name`, as given in an answer, isn't the server name of run `id`. */
export function isOtherServer(id: string, name: string | undefined): boolean {
  return name !== undefined && name !== serverName(id);
}
