import tap from 'tap';
import {createHostListClient} from '@banyandrum/hosts/http-client.js';
import {
  createHostListStandin,
  type HostListFaults,
} from '@banyandrum/standins/host-list.js';
import {
  runHostListContract,
  TIMEOUT_MS,
  type HostListContractFault,
  type HostListContractTarget,
} from './contract.js';

const FAULTS: Readonly<Record<HostListContractFault, Partial<HostListFaults>>> =
  {
    refuse: {down: 'refuse'},
    hang: {down: 'hang'},
    reset: {down: 'reset'},
    junk: {list: 'junk'},
    'wrong-shape': {list: 'wrong-shape'},
    twice: {list: 'twice'},
    cut: {list: 'cut'},
    oversize: {list: 'oversize'},
    failed: {list: 'failed'},
  };

async function createTarget(): Promise<HostListContractTarget> {
  const list = await createHostListStandin();
  return {
    createClient: clock =>
      createHostListClient({
        address: list.address,
        timeoutMs: TIMEOUT_MS,
        clock,
      }),
    fill: async hosts => list.replace(hosts),
    induce: fault => list.setFaults(FAULTS[fault]),
    heal: () => list.setFaults({down: 'none', list: 'none'}),
    close: () => list.close(),
  };
}

runHostListContract(tap, 'stand-in over HTTP', createTarget);
