import {GROUPS, type GroupName} from './slopes-groups.js';

/*
 * Measures one group of slopes in a process of its own, whose memory no
 * other group has touched, and prints them as one line of JSON:
 *
 *     node --expose-gc slopes-run.js tables
 */

const [name] = process.argv.slice(2);
if (name !== undefined && Object.hasOwn(GROUPS, name)) {
  const series = await GROUPS[name as GroupName]();
  process.stdout.write(`${JSON.stringify(series)}\n`, () => process.exit(0));
}
