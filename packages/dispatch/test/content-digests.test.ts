import tap from 'tap';
import {
  digestContent,
  DIGEST_SCOPES,
  type DigestInput,
  type DigestScope,
} from '@banyandrum/dispatch/content-digests.js';

const ASKED: DigestInput = {
  caller: '10.0.0.9',
  method: 'POST',
  host: 'beds.example',
  path: '/checks/7?page=1',
  key: 7,
  body: Buffer.from('one'),
};

const ALL: readonly DigestScope[] = DIGEST_SCOPES;

/** Digests that two requests have in common. */
const COMMON: readonly (readonly [
  Partial<DigestInput>,
  readonly DigestScope[],
])[] = [
  [{body: Buffer.from('one')}, ALL],
  [{host: 'Beds.example:8381'}, ALL],
  [{caller: '10.0.0.10'}, ['anyCaller', 'anyQuery']],
  [{key: null}, ['anyCaller', 'anyQuery']],
  [{path: '/checks/7?page=2'}, ['anyQuery']],
  [{path: '/checks/7'}, ['anyQuery']],
  [{path: '/checks/8?page=1'}, []],
  [{method: 'PUT'}, []],
  [{host: 'other.example'}, []],
  [{body: null}, []],
  [{body: Buffer.from('two')}, []],
];

// What ends servers must be known again at any router, and what one caller's
// request did must not be held against what others ask.
void tap.test('requests have digests in common', async t => {
  const own = digestContent(ASKED);
  for (const [change, common] of COMMON) {
    const other = digestContent({...ASKED, ...change});
    const same = ALL.filter(scope => own[scope] === other[scope]);
    t.same(same, common, JSON.stringify(change));
  }
  t.equal(new Set(Object.values(own)).size, ALL.length);
});
