import tap from 'tap';
import {createServer, type AddressInfo} from 'node:net';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {probeServer} from '@banyandrum/dispatch/probe-server.js';
import {
  createCrashDetector,
  type ProbeResult,
} from '@banyandrum/dispatch/server-ends.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

function backend(part: object = {}): Backend {
  return {info: {id: 's1', isLeaving: false, ...part}} as unknown as Backend;
}

interface Case {
  readonly what: string;
  readonly probe: ProbeResult;
  readonly isLeaving?: boolean;
  /** Another run is seen at the address after this time, in ms. */
  readonly replacedAfterMs?: number;
  readonly isCrash: boolean;
}

// Resets, cuts and planned ends look alike at first: a request is held against
// what it asks only where the server's run is proved to have ended under it.
const CASES: readonly Case[] = [
  {what: 'its address refuses connections', probe: 'refused', isCrash: true},
  {what: 'the connection was reset', probe: 'open', isCrash: false},
  {
    what: 'it is behind a cut, or lost its power',
    probe: 'silent',
    isCrash: false,
  },
  {
    what: 'it started again at once',
    ...{probe: 'open', replacedAfterMs: 1_200, isCrash: true},
  },
  {
    what: 'it was replaced long after',
    ...{probe: 'open', replacedAfterMs: 9_000, isCrash: false},
  },
  {
    what: 'it left as planned',
    ...{probe: 'refused', isLeaving: true, isCrash: false},
  },
];

for (const {
  what,
  probe,
  isLeaving = false,
  replacedAfterMs,
  isCrash: isEnd,
} of CASES) {
  void tap.test(`a lost connection: ${what}`, async t => {
    const clock = createManualClock(1_000);
    const ends = createCrashDetector({clock, probe: async () => probe});
    let strikes = 0;
    await ends.connectionLost(backend({isLeaving}), () => strikes++);
    if (replacedAfterMs !== undefined) {
      await clock.advance(replacedAfterMs);
      ends.noteReplaced('s1');
    }
    t.equal(strikes, isEnd ? 1 : 0);
    await clock.advance(10_000);
    t.same(ends.watchedServers(), []);
  });
}

// A host behind a cut keeps its callers' requests from going on elsewhere no
// longer than a moment; what is found later counts all the same.
void tap.test('a request does not wait for a silent host', async t => {
  const clock = createManualClock(1_000);
  let settle: (end: ProbeResult) => void = () => undefined;
  const probe = (): Promise<ProbeResult> =>
    new Promise(resolve => {
      settle = resolve;
    });
  const ends = createCrashDetector({clock, probe});
  let strikes = 0;
  let isOn = false;
  const lost = ends
    .connectionLost(backend(), () => strikes++)
    .then(() => (isOn = true));
  await clock.advance(60);
  t.ok(isOn);
  settle('refused');
  await lost;
  await clock.advance(1);
  t.equal(strikes, 1);
});

void tap.test('requests lost together share one probe', async t => {
  const clock = createManualClock(1_000);
  let probes = 0;
  const probe = async (): Promise<ProbeResult> => {
    probes++;
    return 'refused';
  };
  const ends = createCrashDetector({clock, probe});
  let strikes = 0;
  const lose = (): Promise<void> =>
    ends.connectionLost(backend(), () => strikes++);
  await Promise.all([lose(), lose(), lose()]);
  await lose();
  t.equal(strikes, 4);
  t.equal(probes, 1);
});

// Callers of the bad request leave before its servers end: what shows these to
// have ended is another's lost connection.
void tap.test('a caller that left is held to what came of it', async t => {
  const clock = createManualClock(1_000);
  const ends = createCrashDetector({clock, probe: async () => 'refused'});
  let strikes = 0;
  ends.requestCancelled(backend(), () => strikes++);
  await clock.advance(400);
  await ends.connectionLost(backend(), () => undefined);
  t.equal(strikes, 1);
  ends.requestCancelled(backend(), () => strikes++);
  await clock.advance(2_000);
  await ends.connectionLost(backend(), () => undefined);
  t.equal(strikes, 1, 'long before the end it had no part in it');
});

void tap.test('a probe tells an address that refuses', async t => {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  const {port} = server.address() as AddressInfo;
  const at = backend({address: `127.0.0.1:${port}`});
  t.equal(await probeServer(at), 'open');
  await new Promise(resolve => server.close(resolve));
  t.equal(await probeServer(at), 'refused');
});
