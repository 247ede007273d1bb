import tap from 'tap';
import type {QueueItem, Ticket} from '@banyandrum/requests/fair-level.js';
import {
  createFairQueue,
  type FairQueue,
} from '@banyandrum/requests/fair-queue.js';

const LEVELS = [
  {name: 'holds', ageAfterMs: 0},
  {name: 'lookups', ageAfterMs: 100},
  {name: 'reports', ageAfterMs: 100},
];

interface Item extends QueueItem {
  readonly name: string;
}

function queue(): FairQueue<Item> {
  return createFairQueue<Item>({levels: () => LEVELS, fair: true});
}

let unique = 0;

function item(name: string, over: Partial<QueueItem> = {}): Item {
  const own = String(unique++);
  const base = {level: 0, caller: own, key: own, bytes: 1, queuedAt: 0};
  return {...base, ...over, name};
}

/** Takes all tickets in order. */
function order(q: FairQueue<Item>, now = 0): string {
  const names: string[] = [];
  for (let t = q.take(now); t !== null; t = q.take(now)) {
    names.push(t.item.name);
  }
  return names.join(' ');
}

const ORDERS = [
  {
    name: 'by precedence, then by arrival',
    items: [
      item('r', {level: 2}),
      item('l', {level: 1}),
      item('h1'),
      item('h2'),
    ],
    order: 'h1 h2 l r',
  },
  {
    name: 'callers take turns',
    items: [
      item('a1', {caller: 'a'}),
      item('a2', {caller: 'a'}),
      item('a3', {caller: 'a'}),
      item('b1', {caller: 'b'}),
      item('b2', {caller: 'b'}),
    ],
    order: 'a1 b1 a2 b2 a3',
  },
  {
    name: 'keys take turns',
    items: [
      item('x1', {key: 'x'}),
      item('x2', {key: 'x'}),
      item('y1', {key: 'y'}),
    ],
    order: 'x1 y1 x2',
  },
  {
    name: 'a caller of a hot key keeps its turn for other keys',
    items: [
      item('x1', {key: 'x'}),
      item('x2', {key: 'x'}),
      item('x3', {key: 'x', caller: 'a'}),
      item('a', {caller: 'a'}),
      item('x4', {key: 'x'}),
    ],
    order: 'x1 x2 a x3 x4',
  },
];

void tap.test('the order of service', async t => {
  for (const c of ORDERS) {
    const q = queue();
    for (const each of c.items) q.push(each);
    t.equal(order(q), c.order, c.name);
  }
});

void tap.test('one turn in eight goes to an aged request', async t => {
  const q = queue();
  for (let i = 0; i < 20; i++) q.push(item('h', {queuedAt: 199}));
  q.push(item('r1', {level: 2}));
  q.push(item('r2', {level: 2}));
  q.push(item('young', {level: 2, queuedAt: 50}));
  const names = order(q, 210).split(' ');
  t.equal(names.indexOf('r1'), 7);
  t.equal(names.indexOf('r2'), 15);
  t.equal(names.indexOf('young'), 22);
});

void tap.test('which request is dropped when the queue is full', async t => {
  const cases = [
    {name: 'the lowest level', newcomer: item('new'), victim: 'report'},
    {
      name: 'not one that has aged up to the newcomer',
      newcomer: item('new', {level: 1, queuedAt: 100}),
      victim: 'new',
      now: 100,
    },
    {
      name: 'the newcomer, if it is the last',
      newcomer: item('new', {level: 2, caller: 'loud'}),
      victim: 'new',
    },
    {
      name: 'the caller with more requests of the same level',
      newcomer: item('new', {level: 2}),
      victim: 'report',
    },
  ];
  for (const c of cases) {
    const q = queue();
    q.push(item('lookup', {level: 1}));
    q.push(item('first', {level: 2, caller: 'loud'}));
    q.push(item('report', {level: 2, caller: 'loud'}));
    const ticket = q.push(c.newcomer);
    t.equal(q.chooseToDrop(ticket, c.now ?? 0).item.name, c.victim, c.name);
  }
});

void tap.test(
  'a ticket is removed once and returns to its position',
  async t => {
    const q = queue();
    const first = q.push(item('first'));
    const second = q.push(item('second'));
    q.push(item('third', {bytes: 5}));
    t.equal(q.remove(second), true);
    t.equal(q.remove(second), false);
    t.equal(q.take(0), first as Ticket<Item>);
    q.putBack(first);
    t.equal(q.size(), 2);
    t.equal(q.bytes(), 6);
    t.equal(order(q), 'first third');
  },
);

void tap.test('a cancelled request does not improve the next turn', async t => {
  // Guards against a caller that gains or loses turns by cancelling and sending
  // again.
  const q = queue();
  q.push(item('b1', {caller: 'b'}));
  q.push(item('a1', {caller: 'a'}));
  for (let i = 0; i < 10; i++) q.remove(q.push(item('a', {caller: 'a'})));
  q.push(item('a2', {caller: 'a'}));
  q.push(item('b2', {caller: 'b'}));
  t.equal(order(q), 'b1 a1 a2 b2');
});
