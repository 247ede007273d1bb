import {createHash} from 'node:crypto';
import type {DeploymentSpec, ServerAddress} from './deployment.js';

/** The platform as the routers' settings name it. */
export interface Platform {
  readonly hostList: string;
  readonly token: string;
}

/** Where one router runs, and its addresses. */
export interface RouterPlace {
  readonly host: string;
  readonly dataCentre: string;
  /** Where the interface for peers listens; 0 the first time. */
  readonly port: number;
  readonly log: string;
  readonly advertise: string | null;
}

/** A router's settings file. */
export function settingsToml(
  spec: DeploymentSpec,
  platform: Platform,
  {host, dataCentre, port, log, advertise}: RouterPlace,
): string {
  const sha256 = createHash('sha256').update(platform.token).digest('hex');
  return `[router]
host = "${host}"
place = "${dataCentre}"
data_centre = "${dataCentre}"

[callers]
listen = "127.0.0.1:0"

[operators]
listen = "127.0.0.1:0"
open_metrics = true

[[operators.tokens]]
operator = "bench"
role = "publisher"
sha256 = "${sha256}"

[peers]
listen = "127.0.0.1:${port}"
${advertise === null ? '' : `advertise = "${advertise}"`}

[log]
address = "${log}"

[host_list]
address = "${platform.hostList}"
poll_ms = 500

[logging]
level = "${spec.logLevel}"
`;
}

/** The inventory of all stand-in servers. */
export function inventoryToml(
  spec: DeploymentSpec,
  servers: readonly ServerAddress[],
): string {
  const places = spec.dataCentres.map(
    name => `[[places]]\nname = "${name}"\ndata_centre = "${name}"\n`,
  );
  const services = spec.services.map(
    ({name, shards, cells, checksFences}) => `[[services]]
name = "${name}"
shards = ${shards}
cells = ${cells}
checks_fences = ${checksFences}
`,
  );
  const entries = servers.map((server, index) => {
    const service = spec.services.find(({name}) => name === server.service)!;
    return `[[servers]]
name = "${server.name}"
service = "${server.service}"
place = "${spec.dataCentres[index % spec.dataCentres.length]}"
address = "${server.address}"
slots = ${service.slots}
connections = ${service.connections}
`;
  });
  return [...places, ...services, ...entries].join('\n');
}
