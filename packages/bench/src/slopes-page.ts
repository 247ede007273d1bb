import {
  deriveCosts,
  HOSTS_OF_CENTRE,
  PATHS,
  type Costs,
} from './slopes-costs.js';
import {at, meanOf, type Series} from './slopes-fit.js';
import {figure, share, size, table, times, type Row} from './slopes-format.js';
import {ASSUMED, DAY_S, TIMES, USERS} from './slopes-users.js';

/** The tables of the page, by section. */
export function renderTables(
  series: readonly Series[],
): Readonly<Record<string, string>> {
  const costs = deriveCosts(series);
  return {
    control: [
      controlTable(partsToday(costs)),
      'Measured whole, for comparison: an idle router of six, with some ' +
        `stand-in servers, takes ${share(costs.router.cpuUs)} of a core and ` +
        `${size(costs.router.memory)}.`,
    ].join('\n\n'),
    changed: controlTable(partsChanged(costs)),
    roles: roleTable(costs),
    streams: streamTable(costs),
    appends: appendTable(costs),
    again: againTable(costs),
    slopes: slopeTable(series),
  };
}

function slopeTable(series: readonly Series[]): string {
  return table(
    ['what', 'unit', 'by', 'cost of one more', '± s.e.', 'at 0', 'sizes'],
    series.map(({name, of, unit, slope, error, base, points}) => [
      name,
      unit,
      of,
      figure(slope),
      figure(error),
      figure(base),
      [...new Set(points.map(({x}) => x))].join(', '),
    ]),
  );
}

/** One part of a node's control: processor time and bytes are a second's. */
interface Part {
  readonly name: string;
  readonly by: string;
  readonly cpuUs?: number;
  readonly memory?: number;
  readonly bytes?: number;
}

function partsToday(costs: Costs): readonly Part[] {
  const {stream, hostList, publication, publicationsPerSecond, of} = costs;
  const polls = TIMES.pollsPerSecond;
  return [
    {
      name: 'runtime, code, idle heap',
      by: `a router of today; ${size(costs.runtime)} are the bare runtime`,
      memory: costs.router.memory,
    },
    {
      name: 'streams between routers',
      by: 'one to and one from every other router',
      cpuUs: PATHS.mesh * stream.cpuUs,
      memory: PATHS.mesh * stream.memory,
      bytes: PATHS.mesh * stream.bytes,
    },
    {
      name: 'host list',
      by: 'read whole every second',
      cpuUs: hostList.cpuUs,
      memory: hostList.bytes,
      bytes: hostList.bytes,
    },
    {
      name: 'configuration',
      by: 'each change publishes all of it',
      cpuUs: publicationsPerSecond * publication.cpuUs,
      memory: costs.inventoryHeap + publication.bytes,
      bytes: publicationsPerSecond * publication.bytes,
    },
    {
      name: 'the end of the log',
      by: `${polls} polls a second by each router`,
      cpuUs: polls * of('poll cpu').slope,
      memory: costs.viewsHeap,
      bytes: polls * of('poll bytes').slope,
    },
    ...partsAlike(costs),
    {
      name: 'leases of a cell',
      by: 'renewals and load reports of 4 servers',
      ...costs.leader,
    },
  ];
}

/** What would be left with the changes that the page names. */
function partsChanged(costs: Costs): readonly Part[] {
  const {of, stream} = costs;
  const hosts = USERS.lostPerDay + USERS.replacedPerDay;
  return [
    {
      name: 'runtime, code, idle heap',
      by: 'the bare runtime, were all code free',
      memory: costs.runtime,
    },
    {
      name: 'streams between routers',
      by: 'two tiers; one stream a pair; heartbeats only while awaiting',
      memory: (PATHS.centres * stream.memory) / 2,
    },
    {
      name: 'host list',
      by: 'changes, from a relay of the data centre',
      memory: USERS.nodes * of('host list bytes').slope,
      bytes: ((2 * hosts) / DAY_S) * of('host list bytes').slope,
    },
    {
      name: 'configuration',
      by: 'a record holds what changed; servers of own cells are kept',
      cpuUs: costs.publicationsPerSecond * costs.foldUs,
      bytes: costs.publicationsPerSecond * ASSUMED.changeBytes,
    },
    {
      name: 'the end of the log',
      by: 'pushed by a relay of the data centre, once a second',
      cpuUs: of('poll cpu').slope,
      memory: costs.viewsHeap,
      bytes: of('poll bytes').slope,
    },
    ...partsAlike(costs),
    {
      name: 'leases of a cell',
      by: 'load in the acknowledgement; shards only where they changed',
      cpuUs: costs.leader.cpuUs / 2,
      bytes:
        costs.leader.bytes / 2 -
        ASSUMED.shardsOfCell * of('leader by shards bytes').slope,
    },
  ];
}

function partsAlike(costs: Costs): readonly Part[] {
  return [
    {
      name: 'views, watches, timers',
      by: 'loops of ownership',
      cpuUs: costs.ownershipUs,
    },
    {
      name: 'consent',
      by: 'one message a pair of routers',
      ...costs.consent,
    },
  ];
}

function controlTable(parts: readonly Part[]): string {
  const sum = (key: 'cpuUs' | 'memory' | 'bytes'): number =>
    parts.reduce((total, part) => total + (part[key] ?? 0), 0);
  const all = {cpuUs: sum('cpuUs'), memory: sum('memory'), bytes: sum('bytes')};
  const {budget} = USERS;
  const row = ({name, by, cpuUs = 0, memory = 0, bytes = 0}: Part): Row => [
    name,
    by,
    share(cpuUs),
    size(memory),
    `${size(bytes)}/s`,
  ];
  return table(
    ['part', 'carried by', 'of a core', 'memory', 'network'],
    [
      ...parts.map(row),
      row({name: '**sum**', by: 'computed', ...all}),
      row({name: '**budget**', by: 'given', ...budget}),
      [
        '**sum / budget**',
        '',
        times(all.cpuUs / budget.cpuUs),
        times(all.memory / budget.memory),
        times(all.bytes / budget.bytes),
      ],
    ],
  );
}

function roleTable(costs: Costs): string {
  const {of, requestsPerNode: rate, stream, snapshotBytes} = costs;
  const {cells, shardsOfCell} = ASSUMED;
  const cores = (name: string): string => figure(at(of(name), rate) / 1e6);
  const statusBytes = of('status bytes').slope * cells;
  const sendUs = at(of('state answerer cpu'), snapshotBytes / 1e3);
  return table(
    ['role', 'state', 'messages', 'processor time', 'memory'],
    [
      [
        'entry',
        `${cells} views: key → cell → leader; nothing for a key`,
        `${figure(rate)} requests/s`,
        `${cores('request entry cpu')} cores for requests, ` +
          `${figure(meanOf(of('lookup cpu')))} us of it a look-up`,
        size(costs.viewsHeap),
      ],
      [
        'leader',
        `${shardsOfCell} shards for ${figure(USERS.keys / cells)} keys`,
        `${figure(rate)} requests/s; leases ${size(costs.leader.bytes)}/s; ` +
          `${size(costs.shardTable.bytes)} of table a change`,
        `${cores('request leader cpu')} cores for requests; leases ` +
          `${share(costs.leader.cpuUs)}; ` +
          `${figure(costs.shardTable.cpuUs)} us a change`,
        'under 1 MB (assumed)',
      ],
      [
        'standby',
        'the table of one cell',
        `${TIMES.consentPerSecond} consents/s, ` +
          `${size(at(of('consent bytes'), 1))} each`,
        share(TIMES.consentPerSecond * at(of('consent answerer cpu'), 1)),
        size(costs.shardTable.bytes),
      ],
      [
        'relay of configuration (not built; measured with `state`)',
        'the state, encoded once',
        `${size(snapshotBytes)} to each of ${HOSTS_OF_CENTRE} routers ` +
          'that starts; then changes',
        `${figure((of('snapshot encode cpu').slope * cells) / 1e3)} ms to ` +
          `encode, ${figure(sendUs / 1e3)} ms to send each`,
        size(snapshotBytes),
      ],
      [
        'log reader',
        'views, inventory, rules, 5,000 change ids',
        `${TIMES.pollsPerSecond} polls/s, ${size(of('poll bytes').slope)} each`,
        `${figure(of('poll cpu').slope)} us a poll, ` +
          `${figure(of('records cpu').slope)} us a record, ` +
          `${figure(costs.foldUs)} us a change of views, ` +
          `${figure(costs.publication.cpuUs / 1e3)} ms a publication`,
        size(costs.viewsHeap + costs.inventoryHeap),
      ],
      [
        "operators' API",
        'none of its own',
        `a status asks ${USERS.nodes - 1} routers on new connections: ` +
          size(statusBytes),
        `${figure((of('status cpu').slope * cells) / 1e6)} s a status`,
        `${size(2 * statusBytes)} for a moment, and ` +
          `${size((USERS.nodes * stream.memory) / 2)} of streams`,
      ],
    ],
  );
}

function streamTable(costs: Costs): string {
  const {stream, hopUs} = costs;
  const row = (name: string, others: number, away: number): Row => [
    name,
    figure(2 * others),
    size(others * stream.memory),
    share(others * stream.cpuUs),
    `${size(others * stream.bytes)}/s`,
    `${figure((away * hopUs) / 1e6)}`,
  ];
  const {dataCentres, regions} = USERS;
  return table(
    ['paths', 'stream ends', 'memory', 'idle core', 'idle network', 'hop'],
    [
      row('full mesh', PATHS.mesh, 0),
      row('on demand, a fifth of all leaders in use', PATHS.mesh / 5, 0),
      row('two tiers by region', PATHS.regions, 1 - 1 / regions),
      row('two tiers by data centre', PATHS.centres, 1 - 1 / dataCentres),
    ],
  );
}

/** Appends of a planned restart: its claim, its standby's, two to return. */
const RESTART_APPENDS = 4;
const RETURN_APPENDS = 2;
const ROLES = 2;
const CLAIMS_OF_RECORD = 64;

function appendTable(costs: Costs): string {
  const loss = costs.appendsPerRole * ROLES;
  const {hostsOfRack, appendsPerSecond, outageMinutes} = ASSUMED;
  const {nodes, regions, lostPerDay, replacedPerDay, changesPerDay} = USERS;
  const day =
    changesPerDay +
    lostPerDay * (loss + RETURN_APPENDS) +
    replacedPerDay * RESTART_APPENDS;
  const outage = ((lostPerDay + replacedPerDay) * outageMinutes) / (24 * 60);
  const cut = (nodes / regions) * (1 - 1 / regions);
  const row = (name: string, from: string, count: number): Row => {
    const gathered = Math.ceil(count / CLAIMS_OF_RECORD);
    return [
      name,
      from,
      figure(count),
      figure(count / appendsPerSecond),
      figure(Math.min(count, gathered + USERS.dataCentres)),
    ];
  };
  const perSecond = `${figure(day / DAY_S)} a second`;
  return table(
    ['event', 'from', 'appends', 's of the log', 'gathered by relays'],
    [
      ['ordinary day', 'computed', figure(day), perSecond, 'alike'],
      row('a host lost', 'measured', loss),
      row(
        `a rack (${hostsOfRack} hosts: assumed)`,
        'computed',
        hostsOfRack * loss,
      ),
      row('a data centre lost', 'computed', HOSTS_OF_CENTRE * loss),
      row('a region cut off from the log', 'computed', 2 * cut),
      row(
        `after ${outageMinutes} min without the log (assumed)`,
        'computed',
        outage * RESTART_APPENDS,
      ),
      row('first start of all', 'computed', nodes),
    ],
  );
}

function againTable(costs: Costs): string {
  const {logMs, orderMs, appendsPerSecond, hostsOfRack} = ASSUMED;
  const margin = (ms: number): number =>
    ms * (1 + TIMES.driftShare) + TIMES.driftMarginMs;
  const released = margin(TIMES.leaseMs);
  const row = (name: string, hosts: number): Row => {
    const appends = hosts * ROLES * costs.appendsPerRole;
    const claimed = 2 * logMs + (appends * 1_000) / appendsPerSecond;
    const taken = TIMES.suspicionMs + TIMES.probeMs + claimed + orderMs;
    const cleared = taken + margin(TIMES.authorityMs);
    return [name, taken, cleared, cleared + released].map(cell =>
      typeof cell === 'number' ? `${figure(cell / 1e3)} s` : cell,
    );
  };
  const alone = (TIMES.renewMs + released + orderMs) / 1e3;
  return table(
    ['lost', 'server checks fences', 'does not', 'server lost as well'],
    [
      ['a server alone', '-', '-', `${figure(alone)} s`],
      row('a router', 1),
      row('a rack', hostsOfRack),
      row('a data centre', HOSTS_OF_CENTRE),
    ],
  );
}
