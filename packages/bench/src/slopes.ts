import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {startChild} from './child.js';
import type {Series} from './slopes-fit.js';
import {renderTables} from './slopes-page.js';
import {GROUPS} from './slopes-groups.js';

/*
 * Measures what each role costs by size, one group after the other, and
 * writes the tables of docs/CAPACITY.md from the slopes:
 *
 *     npm run bench:slopes                   everything, some four minutes
 *     npm run bench:slopes -- peers cell     these groups; the rest as it was
 *     npm run bench:slopes -- --pages        the page again, from the last run
 */

const RUN = fileURLToPath(new URL('./slopes-run.js', import.meta.url));
const PAGE = docs('CAPACITY.md');
const RAW = docs('capacity-slopes.json');

/** The parts of the page that this command writes. */
function section(name: string): RegExp {
  const [begin, end] = [`<!-- ${name}:begin -->`, `<!-- ${name}:end -->`];
  return new RegExp(`(${begin}\n)[^]*?(${end})`);
}

type Raw = Readonly<Record<string, readonly Series[]>>;

async function main(): Promise<void> {
  const {values, positionals} = parseArgs({
    allowPositionals: true,
    options: {pages: {type: 'boolean'}},
  });
  const all = Object.keys(GROUPS);
  const groups = positionals.length > 0 ? positionals : all;
  if (!values.pages) for (const group of groups) await measure(group);
  const raw = JSON.parse(readFileSync(RAW, 'utf8')) as Raw;
  const series = all.flatMap(group => raw[group] ?? []);
  const tables = renderTables(series);
  let page = readFileSync(PAGE, 'utf8');
  for (const [name, table] of Object.entries(tables)) {
    if (!section(name).test(page)) throw new Error(`no section ${name}`);
    page = page.replace(section(name), (_, begin: string, end: string) => {
      return `${begin}\n${table}\n\n${end}`;
    });
  }
  writeFileSync(PAGE, page);
  process.stdout.write(`${tables.slopes}\n`);
}

/** Measures one group and puts it beside what is known of the others. */
async function measure(group: string): Promise<void> {
  process.stdout.write(`measuring ${group}\n`);
  const args = ['--expose-gc', RUN, group];
  const child = await startChild({name: group, args});
  const known = existsSync(RAW) ? readFileSync(RAW, 'utf8') : '{}';
  const raw = {...(JSON.parse(known) as Raw), [group]: child.hello};
  writeFileSync(RAW, `${JSON.stringify(raw, null, 1)}\n`);
  await child.exited;
}

function docs(name: string): string {
  return fileURLToPath(new URL(`../../../docs/${name}`, import.meta.url));
}

await main();
