/** A log as a process of its own: `node run-log.js [--keep-records N] ...`. */
import {parseArgs} from 'node:util';
import {LOG_FAULTS_SCHEMA, type LogFaults} from './log-faults.js';
import {createLogStandin} from './log.js';
import {runUntilSigterm} from './run-until-sigterm.js';

const {values} = parseArgs({
  options: {
    'keep-records': {type: 'string'},
    'max-record-bytes': {type: 'string'},
    'delay-ms': {type: 'string'},
  },
});

const given = {
  keepRecords: toNumber(values['keep-records']),
  maxRecordBytes: toNumber(values['max-record-bytes']),
  delayMs: toNumber(values['delay-ms']),
};
const named = Object.entries(given).filter(([, value]) => value !== undefined);
const faults = LOG_FAULTS_SCHEMA.partial().parse(Object.fromEntries(named));

runUntilSigterm(await createLogStandin({faults: faults as Partial<LogFaults>}));

function toNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}
