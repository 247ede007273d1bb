import tap from 'tap';
import {createLogClient} from '@banyandrum/log/http-client.js';
import type {LogFaults} from '@banyandrum/standins/log-faults.js';
import {createLogStandin} from '@banyandrum/standins/log.js';
import {
  CLIENT_RECORD_BYTES,
  LOG_RECORD_BYTES,
  runLogContract,
  TIMEOUT_MS,
  type LogContractFault,
  type LogContractTarget,
} from './contract.js';

const STREAM = 'main';

const FAULTS: Readonly<Record<LogContractFault, Partial<LogFaults>>> = {
  refuse: {down: 'refuse'},
  hang: {down: 'hang'},
  reset: {down: 'reset'},
  silent: {down: 'silent'},
  'append-refused': {append: 'refused'},
  'append-lost-reset': {append: 'lost-reset'},
  'append-lost-hang': {append: 'lost-hang'},
  'append-lost-500': {append: 'lost-500'},
  'read-junk': {read: 'junk'},
  'read-wrong-shape': {read: 'wrong-shape'},
  'read-gap': {read: 'gap'},
  'read-cut': {read: 'cut'},
  'read-oversize': {read: 'oversize'},
  'read-failed': {read: 'failed'},
};

async function createTarget(): Promise<LogContractTarget> {
  const log = await createLogStandin({
    faults: {maxRecordBytes: LOG_RECORD_BYTES},
  });
  return {
    createClient: clock =>
      createLogClient({
        address: log.address,
        stream: STREAM,
        timeoutMs: TIMEOUT_MS,
        maxRecordBytes: CLIENT_RECORD_BYTES,
        clock,
      }),
    induce: fault => log.setFaults(FAULTS[fault]),
    heal: () => log.setFaults({down: 'none', append: 'none', read: 'none'}),
    expire: async first => log.expire(STREAM, first),
    close: () => log.close(),
  };
}

runLogContract(tap, 'stand-in over HTTP', createTarget);
