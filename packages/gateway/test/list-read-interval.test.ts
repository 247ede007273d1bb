import tap from 'tap';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {listReadIntervalMs} from '@banyandrum/gateway/list-read-interval.js';

function serverOf(service: string, slots: number, serviceMs: number): Backend {
  return {info: {service, slots}, serviceMs} as unknown as Backend;
}

/** Only servers of `desks` have a limit while they are cold. */
function coldPerSecondOf(service: string): number | null {
  return service === 'desks' ? 1.6 : null;
}

const CASES: readonly {
  readonly name: string;
  readonly backends: readonly Backend[];
  readonly intervalMs: number;
}[] = [
  {name: 'no servers', backends: [], intervalMs: 400},
  {
    name: 'slow servers',
    backends: [serverOf('desks', 2, 220), serverOf('desks', 2, 290)],
    intervalMs: 400,
  },
  {
    name: 'the quickest server decides',
    backends: [serverOf('desks', 2, 220), serverOf('desks', 4, 60)],
    intervalMs: 90,
  },
  {
    name: 'very quick servers',
    backends: [serverOf('desks', 64, 5)],
    intervalMs: 50,
  },
  {
    name: 'servers without a measured time',
    backends: [serverOf('desks', 64, 0)],
    intervalMs: 400,
  },
  {
    name: 'servers that bear as much when cold',
    backends: [serverOf('wards', 64, 5)],
    intervalMs: 400,
  },
];

// Guards against a server that turns cold and gets as many requests as a warm one
// for 0.4 s, which are too many of quick ones.
for (const {name, backends, intervalMs} of CASES) {
  void tap.test(`interval of reads: ${name}`, async t => {
    t.equal(listReadIntervalMs({backends, coldPerSecondOf}), intervalMs);
  });
}
