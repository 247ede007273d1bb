import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {promisify} from 'node:util';
import tap from 'tap';
import {reserveAddress, reservePorts} from '@banyandrum/standins/ports.js';

const PROCESSES = 3;
const PORTS = 300;
const MODULE = import.meta.resolve('@banyandrum/standins/ports.js');
const EPHEMERAL_RANGE = '/proc/sys/net/ipv4/ip_local_port_range';

/** Prints ports and keeps them reserved until the others have theirs too. */
const SCRIPT = `
  import {reservePorts} from '${MODULE}';
  console.log(JSON.stringify(await reservePorts(${PORTS})));
  await new Promise(resolve => setTimeout(resolve, 3_000));
`;

// Guards against a test that talks to the routers of another test process.
void tap.test('test processes reserve different ports', async t => {
  const args = ['--input-type=module', '--eval', SCRIPT];
  const outputs = await Promise.all(
    Array.from({length: PROCESSES}, () =>
      promisify(execFile)(process.execPath, args),
    ),
  );
  const ports = outputs.flatMap(({stdout}) => JSON.parse(stdout) as number[]);
  t.equal(ports.length, PROCESSES * PORTS);
  t.equal(new Set(ports).size, ports.length, 'no port twice');
});

// Guards against an outgoing connection that takes a port before its user
// listens on it: the kernel chooses those from the ephemeral range.
void tap.test('reserved ports are outside of the ephemeral range', async t => {
  const range = readFileSync(EPHEMERAL_RANGE, 'utf8').trim().split(/\s+/);
  const [first, last] = range.map(Number) as [number, number];
  const ports = await reservePorts(PORTS);
  const [, port] = (await reserveAddress()).split(':');
  const isEphemeral = (each: number): boolean => first <= each && each <= last;
  t.same([...ports, Number(port)].filter(isEphemeral), []);
});
