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

// The platform chose one of many small hosts to lead: with places for 2,600
// requests a second to hand out it is late for all of them, and callers of
// services that are divided by key are refused.
void tap.test('leading goes to the host with clearly more room', async t => {
  const some = [at('a', SMALL), at('b', LARGE), at('c', LARGE)];
  t.equal(pickLargestHost(SMALL, some)?.address, 'b');
  t.equal(pickLargestHost(LARGE, some), null, 'and stays there');
  t.equal(pickLargestHost(SMALL, [at('a', SMALL)]), null);
});

void tap.test('a quick processor behind a thin link is no gain', async t => {
  const thin = at('a', {processors: 4, linkMbps: 7});
  t.equal(pickLargestHost(SMALL, [thin]), null);
});

// A data centre is lost with the leader and all large hosts in it. Whoever is
// asked to lead next must not have been there too.
void tap.test('deputies stand in several data centres', async t => {
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
