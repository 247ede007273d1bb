import tap from 'tap';
import {createServer, type AddressInfo} from 'node:net';
import type {Backend} from '@banyandrum/dispatch/backend.js';
import {probeServer} from '@banyandrum/dispatch/probe-server.js';
import {
  createCrashDetector,
  type ProbeResult,
} from '@banyandrum/dispatch/crash-detector.js';
import {createManualClock} from '@banyandrum/standins/manual-clock.js';

function backend(part: object = {}): Backend {
  return {info: {id: 's1', isLeaving: false, ...part}} as unknown as Backend;
}

interface Case {
  readonly what: string;
  readonly probe: ProbeResult;
  readonly isLeaving?: boolean;
  /** Time after which another instance is seen at the address, in ms. */
  readonly replacedAfterMs?: number;
  readonly isCrash: boolean;
}

// Guards against blaming a request for a crash without evidence. Resets,
// network partitions and planned shutdowns end connections just as crashes do.
const CASES: readonly Case[] = [
  {what: 'its address refuses connections', probe: 'refused', isCrash: true},
  {what: 'the connection was reset', probe: 'open', isCrash: false},
  {
    what: 'it is partitioned, or lost its power',
    probe: 'silent',
    isCrash: false,
  },
  {
    what: 'it started again at once',
    ...{probe: 'open', replacedAfterMs: 1_200, isCrash: true},
  },
  {
    what: 'it was replaced much later',
    ...{probe: 'open', replacedAfterMs: 9_000, isCrash: false},
  },
  {
    what: 'it shut down as planned',
    ...{probe: 'refused', isLeaving: true, isCrash: false},
  },
];

for (const {
  what,
  probe,
  isLeaving = false,
  replacedAfterMs,
  isCrash,
} of CASES) {
  void tap.test(`a lost connection: ${what}`, async t => {
    const clock = createManualClock(1_000);
    const crashDetector = createCrashDetector({
      clock,
      probe: async () => probe,
    });
    let strikes = 0;
    await crashDetector.connectionLost(backend({isLeaving}), () => strikes++);
    if (replacedAfterMs !== undefined) {
      await clock.advance(replacedAfterMs);
      crashDetector.noteReplaced('s1');
    }
    t.equal(strikes, isCrash ? 1 : 0);
    await clock.advance(10_000);
    t.same(crashDetector.watchedServers(), []);
  });
}

// Guards against delaying a retry while a partitioned host doesn't answer the
// probe. A crash that is found later must still be reported.
void tap.test(
  'a request does not wait for a host that does not answer',
  async t => {
    const clock = createManualClock(1_000);
    let settle: (result: ProbeResult) => void = () => undefined;
    const probe = (): Promise<ProbeResult> =>
      new Promise(resolve => {
        settle = resolve;
      });
    const crashDetector = createCrashDetector({clock, probe});
    let strikes = 0;
    let hasResolved = false;
    const lost = crashDetector
      .connectionLost(backend(), () => strikes++)
      .then(() => (hasResolved = true));
    await clock.advance(60);
    t.ok(hasResolved);
    settle('refused');
    await lost;
    await clock.advance(1);
    t.equal(strikes, 1);
  },
);

void tap.test('requests lost together share one probe', async t => {
  const clock = createManualClock(1_000);
  let probes = 0;
  const probe = async (): Promise<ProbeResult> => {
    probes++;
    return 'refused';
  };
  const crashDetector = createCrashDetector({clock, probe});
  let strikes = 0;
  const loseConnection = (): Promise<void> =>
    crashDetector.connectionLost(backend(), () => strikes++);
  await Promise.all([loseConnection(), loseConnection(), loseConnection()]);
  await loseConnection();
  t.equal(strikes, 4);
  t.equal(probes, 1);
});

// Guards against missing crashes caused by requests whose callers disconnect
// before the server crashes. The crash is detected by another request's lost
// connection.
void tap.test(
  'a request cancelled by its caller is held responsible for a crash',
  async t => {
    const clock = createManualClock(1_000);
    const crashDetector = createCrashDetector({
      clock,
      probe: async () => 'refused',
    });
    let strikes = 0;
    crashDetector.requestCancelled(backend(), () => strikes++);
    await clock.advance(400);
    await crashDetector.connectionLost(backend(), () => undefined);
    t.equal(strikes, 1);
    crashDetector.requestCancelled(backend(), () => strikes++);
    await clock.advance(2_000);
    await crashDetector.connectionLost(backend(), () => undefined);
    t.equal(strikes, 1, 'long before the end, so it had no part in it');
  },
);

void tap.test(
  'a probe detects an address that refuses connections',
  async t => {
    const server = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    const {port} = server.address() as AddressInfo;
    const target = backend({address: `127.0.0.1:${port}`});
    t.equal(await probeServer(target), 'open');
    await new Promise(resolve => server.close(resolve));
    t.equal(await probeServer(target), 'refused');
  },
);
