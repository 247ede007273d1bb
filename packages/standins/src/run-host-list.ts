/** A host list as a process of its own: `node run-host-list.js [--lag-ms N]`. */
import {parseArgs} from 'node:util';
import {createHostListStandin} from './host-list.js';
import {runUntilSigterm} from './run-until-sigterm.js';

const {values} = parseArgs({
  options: {'lag-ms': {type: 'string', default: '0'}},
});
const lagMs = Number(values['lag-ms']);
if (!(lagMs >= 0)) {
  throw new Error(`--lag-ms: expected a number of ms, got ${values['lag-ms']}`);
}

runUntilSigterm(await createHostListStandin({lagMs}));
