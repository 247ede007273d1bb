import tap from 'tap';
import {
  pickDeputies,
  pickLargestHost,
} from '@banyandrum/gateway/host-capacity.js';

const SMALL = {processors: 0.27, linkMbps: 10};
const LARGE = {processors: 1.35, linkMbps: 200};
const at = (address: string, room: typeof SMALL, dataCentre = 'a') => ({
  ...{address, room, dataCentre},
});

// Guards against a leader on a small host that the platform chose. It can't
// allocate slots for 2,600 requests per second in time, so that callers of
// services that are divided by key are rejected.
void tap.test('leading goes to the host with clearly more room', async t => {
  const candidates = [at('a', SMALL), at('b', LARGE), at('c', LARGE)];
  t.equal(pickLargestHost(SMALL, candidates)?.address, 'b');
  t.equal(pickLargestHost(LARGE, candidates), null, 'and stays there');
  t.equal(pickLargestHost(SMALL, [at('a', SMALL)]), null);
});

void tap.test('a fast processor behind a slow link is not chosen', async t => {
  const slowLink = at('a', {processors: 4, linkMbps: 7});
  t.equal(pickLargestHost(SMALL, [slowLink]), null);
});

// Guards against losing the leader and all deputies together with one data
// centre.
void tap.test('deputies are in several data centres', async t => {
  const deputies = pickDeputies([
    at('a', SMALL, 'north'),
    at('b', LARGE, 'north'),
    at('c', LARGE, 'north'),
    at('d', LARGE, 'south'),
    at('e', SMALL, 'south'),
  ]);
  t.same(
    deputies.map(({address}) => address),
    ['b', 'd', 'c'],
  );
});
