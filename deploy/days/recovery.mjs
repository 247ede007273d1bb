// Goodput after each trouble of days that were played: how long until nine
// tenths of its level before are served again. Reads what the bench printed
// for each day (`OUT=dir deploy/days/play.sh`).
//
//   node deploy/days/recovery.mjs dir/*.txt
import console from 'node:console';
import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import process from 'node:process';

/** The share of the level before that counts as recovered. */
const RECOVERED = 0.9;
/** Windows of the bench's table, in seconds. */
const WINDOW_S = 2;
/** Recovered within this time, in seconds. */
const AIM_S = 5;

const WINDOW =
  /^(\d+) +(\d+) +(\d+) +(\d+) +\d+ +\d+ +\d+ +[\d.]+ +[\d.]+ +[\d.]+$/;
const TROUBLE = /^ +([\d.]+) s(?: to +([\d.]+) s)? +(.+?) *$/;

function readWindows(text) {
  const table = text.split(/^from second.*$/m)[1] ?? '';
  const rows = table.split('\n').map(line => WINDOW.exec(line.trim()));
  return rows.filter(Boolean).map(([, at, asked, timely, late]) => ({
    at: Number(at),
    share: Number(asked) > 0 ? (Number(timely) + Number(late)) / asked : 1,
  }));
}

function readTroubles(text) {
  const list = text.split(/^what happened$/m)[1]?.split(/\n\n/)[0] ?? '';
  const rows = list.split('\n').map(line => TROUBLE.exec(line));
  return rows.filter(Boolean).map(([, from, to, kind]) => ({
    from: Number(from),
    end: Number(to ?? from),
    kind: kind.split(' ')[0],
  }));
}

function recoveries(path) {
  const text = readFileSync(path, 'utf8');
  const windows = readWindows(text);
  const troubles = readTroubles(text);
  const first = Math.min(...troubles.map(({from}) => from));
  const calm = windows.filter(({at}) => at + WINDOW_S <= first + WINDOW_S);
  const level =
    calm.length === 0
      ? 1
      : calm.reduce((sum, {share}) => sum + share, 0) / calm.length;
  return troubles.flatMap(({from, end, kind}) => {
    const later = windows.filter(({at}) => at >= end - WINDOW_S / 2);
    const back = later.find(({share}) => share >= RECOVERED * level);
    if (later.length === 0) return [];
    const tookS = back === undefined ? Infinity : Math.max(0, back.at - end);
    return [{day: basename(path, '.txt'), kind, from, tookS}];
  });
}

const all = process.argv.slice(2).flatMap(recoveries);
const kinds = new Map();
for (const each of all) {
  kinds.set(each.kind, [...(kinds.get(each.kind) ?? []), each]);
}
for (const [kind, list] of [...kinds].sort()) {
  const within = list.filter(({tookS}) => tookS <= AIM_S).length;
  const worst = list.reduce((a, b) => (b.tookS > a.tookS ? b : a));
  console.log(
    `${kind.padEnd(20)} ${String(list.length).padStart(4)} times, ` +
      `${within} within ${AIM_S} s; longest ${worst.tookS.toFixed(1)} s ` +
      `(${worst.day}, ${worst.from} s)`,
  );
}
const within = all.filter(({tookS}) => tookS <= AIM_S).length;
console.log(`in all ${all.length}, ${within} within ${AIM_S} s`);
