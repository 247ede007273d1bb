import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import type {DeploymentSpec, ServiceSpec} from './deployment.js';

/** Today's deployments at the sizes of their users. */
export type DeploymentName = 'board' | 'co-operative';

const MINUTE_REPORT_MS = 20;
const LOOKUP_MS = 2;
const RECORD_MS = 5;

const BOARD_SERVICES: readonly ServiceSpec[] = [
  service('vacancy', 12, 4, 55, LOOKUP_MS),
  service('holds', 8, 4, 55, RECORD_MS),
  service('rounds', 18, 4, 55, MINUTE_REPORT_MS),
];

const CO_OPERATIVE_SERVICES: readonly ServiceSpec[] = [
  service('claims', 10, 2, 110, LOOKUP_MS),
  service('assignments', 8, 2, 110, RECORD_MS),
  service('records', 13, 2, 110, LOOKUP_MS),
];

/**
 * The specification of a deployment, with its rules from `examples/`.
 *
 * @example
 * ```ts
 * const deployment = await startDeployment(specOf('board', 4));
 * ```
 */
export function specOf(name: DeploymentName, routers: number): DeploymentSpec {
  const common = {routers, logLevel: 'warn', rulesToml: readRules(name)};
  return {...PLACES[name], ...common} as DeploymentSpec;
}

const PLACES = {
  board: {
    dataCentres: ['maninagar', 'naroda', 'vadaj', 'juhapura'],
    services: BOARD_SERVICES,
  },
  'co-operative': {
    dataCentres: ['terrace', 'smithers', 'prince-george', 'kitimat'],
    services: CO_OPERATIVE_SERVICES,
  },
} as const;

function service(
  name: string,
  servers: number,
  slots: number,
  connections: number,
  serviceMs: number,
): ServiceSpec {
  const sizes = {servers, slots, connections, serviceMs};
  return {name, ...sizes, shards: 64, cells: 1, checksFences: true};
}

function readRules(name: DeploymentName): string {
  const url = new URL(`../../../examples/${name}/rules.toml`, import.meta.url);
  return readFileSync(fileURLToPath(url), 'utf8');
}
