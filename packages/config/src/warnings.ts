import type {CheckedPublication} from './check-publication.js';

/** What is allowed, but probably isn't what its author expects. */
export interface Warning {
  readonly service: string;
  readonly detail: string;
}

/**
 * Finds what a publication's author should know before it is published. A
 * refusal would be wrong: a long deadline also covers the wait for a turn.
 *
 * @example
 * ```ts
 * for (const {service, detail} of warningsOf(checked)) show(service, detail);
 * ```
 */
export function warningsOf(checked: CheckedPublication): readonly Warning[] {
  const {inventory, rules} = checked;
  const {leaseMs} = rules.timing;
  return inventory.services.flatMap(({name, checksFences}) => {
    if (checksFences) return [];
    const deadlines = rules.operations
      .filter(({service}) => service === name)
      .map(({deadlineMs}) => deadlineMs);
    const longest = Math.max(0, ...deadlines);
    if (longest <= leaseMs) return [];
    const detail =
      `deadlines up to ${longest} ms, but a request may run for less than ` +
      `timing.lease_ms (${leaseMs}) at servers without checks_fences`;
    return [{service: name, detail}];
  });
}
