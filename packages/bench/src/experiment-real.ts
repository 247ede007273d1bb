import {
  countMoves,
  countViolations,
  findViolations,
  readRecords,
} from './checker.js';
import {startDeployment} from './deployment.js';
import {startProbeLoad} from './probe-load.js';
import {specOf} from './specs.js';

/** What a short run of the real processes came to. */
export interface RealRun {
  readonly asked: number;
  readonly answered: number;
  /** Broken promises, by the servers' own records. */
  readonly broken: number;
  readonly shardMoves: number;
}

const ROUTERS = 2;
const SETTLE_MS = 20_000;
const LOAD_MS = 5000;
const KEYS = 40;

/**
 * Runs routers and stand-ins as processes for some seconds, and holds every
 * answer against the servers' own records. Its times depend on the machine,
 * so it compares no policies; it checks that what runs in virtual time is
 * put together alike.
 *
 * @example
 * ```ts
 * const {broken} = await runReal();
 * ```
 */
export async function runReal(): Promise<RealRun> {
  const deployment = await startDeployment(specOf('board', ROUTERS));
  try {
    await deployment.publish();
    await deployment.settled(SETTLE_MS);
    const entries = [...deployment.routers.values()].map(
      ({callers}) => callers,
    );
    const load = startProbeLoad({
      targets: Array.from({length: KEYS}, (_, i) => `holds/ward-${i}`),
      entries: () => entries,
      pauseMs: 20,
      deadlineMs: 5000,
    });
    const before = await readRecords(deployment.servers);
    const begun = Math.max(...before.beliefs.map(({fromMs}) => fromMs));
    await new Promise(resolve => setTimeout(resolve, LOAD_MS));
    await load.stop();
    const records = await readRecords(deployment.servers);
    const answered = load.samples.filter(({status}) => status < 300);
    return {
      asked: load.samples.length,
      answered: answered.filter(({status}) => status >= 200).length,
      broken: countViolations(findViolations(records, load.samples)),
      shardMoves: countMoves(records.beliefs, begun + 1),
    };
  } finally {
    await deployment.stop();
  }
}
