import {readFile} from 'node:fs/promises';
import {setFlagsFromString} from 'node:v8';
import {setLogLevel} from '@banyandrum/base/logger.js';
import {formatProblem, inFile} from '@banyandrum/config/problem.js';
import {parseSettings} from '@banyandrum/config/settings.js';
import {defineCommand, runMain} from 'citty';
import {startRouter} from './start-router.js';

// V8 otherwise comes to place each request's objects in its old space, where
// they outlive the request: 5,700 instead of 1,350 bytes a request survived,
// and processor time was up to 1.5 times that of undici alone (measured).
setFlagsFromString('--no-allocation-site-pretenuring');

/** Exit codes: 0 stopped gracefully, 2 bad settings, 3 cannot listen. */
const EXIT = {badSettings: 2, cannotStart: 3} as const;

const command = defineCommand({
  meta: {
    name: 'banyandrum-router',
    version: '0.1.0',
    description: 'Routes requests to the backend servers that own their keys.',
  },
  args: {
    settings: {
      type: 'string',
      description: 'the TOML file with the settings of this process',
      required: true,
    },
    'grace-ms': {
      type: 'string',
      description: 'how long a graceful stop may take',
      default: '30000',
    },
  },
  run: ({args}) => run(args.settings, Number(args['grace-ms'])),
});

/** The router's command line. */
export async function main(): Promise<void> {
  await runMain(command);
}

async function run(path: string, graceMs: number): Promise<void> {
  const text = await readFile(path).catch((err: Error) => err);
  if (text instanceof Error) return fail(EXIT.badSettings, text.message);
  const settings = parseSettings(text, process.env);
  if (settings.err) {
    const [problem] = inFile(path, settings.val);
    return fail(EXIT.badSettings, formatProblem(problem!));
  }
  setLogLevel(settings.val.logging.level);
  const router = await startRouter(settings.val).catch((err: Error) => err);
  if (router instanceof Error) return fail(EXIT.cannotStart, router.message);
  const {callers, operators, peers, peersListen} = router;
  const addresses = {callers, operators, peers, peersListen};
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  let stopped: Promise<void> | null = null;
  const stop = (): void => {
    stopped ??= router.stop(graceMs).then(() => process.exit(0));
  };
  // Kept after the first signal: without a listener the next one ends the
  // process at once, and cuts the requests that it still answers.
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function fail(code: number, message: string): void {
  process.stderr.write(`banyandrum-router: ${message}\n`);
  process.exitCode = code;
}
